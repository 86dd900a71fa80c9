//! What this sender wants of each limit, and the pace that the fleet leaves to it.

use super::Policy;
use super::scope::Scope;
use super::state::{Destination, LimitDemand};
use crate::interface::Millis;

/// Messages expected within this time are wanted too, ms: the next report of the fleet comes no sooner.
const DEMAND_HORIZON: Millis = 500.0;

impl Destination {
    /// Calls wanted of a limit now: what waits and what will come, divided by limits.
    pub(super) fn demand(&self, scope: Scope, now: Millis) -> LimitDemand {
        let limit = self.throttle_of(scope).limit;
        let all = if self.routes_apart {
            self.ready_routes().map(|index| self.routes[index].throttle.limit).sum()
        } else {
            limit
        };
        let messages = self.waiting.len() as f64 + self.arrival_rate.expected_within(now, DEMAND_HORIZON);
        LimitDemand { wanted: messages * limit / f64::max(all, limit), limit }
    }

    /// The pace that the fleet leaves to this sender, in calls per second, while its reports are fresh.
    pub(super) fn fleet_pace(&self, scope: Scope, now: Millis) -> Option<f64> {
        let demand = self.demand(scope, now);
        self.throttle_of(scope).capacity.rate(now, demand.wanted, demand.limit)
    }
}

impl Policy {
    /// The first message at a destination takes its place among the calls of all senders.
    pub(super) fn queue_up(&mut self, destination: &mut Destination) {
        if destination.waiting.len() != 1 {
            return;
        }
        for scope in destination.throttle_scopes() {
            let Some(pace) = destination.fleet_pace(scope, self.now) else { continue };
            let draw = self.rng.unit();
            let throttle = destination.throttle_of_mut(scope);
            if let Some(draw_at) = throttle.capacity.schedule_first_call(self.now, pace, draw) {
                throttle.next_draw_at = draw_at;
            }
        }
    }
}
