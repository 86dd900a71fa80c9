//! The demand of this sender at each limit, and the fleet's reports about this sender's share.

use rudderspindle_gossip as gossip;

use super::Destination;
use super::scope::Scope;
use crate::context::Context;
use crate::interface::{CapacityUpdate, Demand, Millis, PermitUpdate, RetryAfterUpdate, RouteId};
use crate::throttle::Throttle;

/// Time, in ms, for which expected messages count as demand. The next report of the fleet may come later.
const DEMAND_HORIZON: Millis = 500.0;

/// Demand and rates.
impl Destination {
    /// The calls that the waiting and the expected messages need at a limit. Where routes have limits of
    /// their own, messages are divided among the ready routes in proportion to the limits.
    fn calls_wanted(&self, scope: Scope, now: Millis) -> f64 {
        let limit = self.throttle_of(scope).limit();
        let all_limits = if self.limit_per_route {
            self.ready_routes().map(|route_index| self.routes[route_index].throttle.limit()).sum()
        } else {
            limit
        };
        let messages = self.waiting.len() as f64 + self.arrival_rate.expected_within(now, DEMAND_HORIZON);
        messages * limit / f64::max(all_limits, limit)
    }

    /// This sender's call rate by the fleet's reports, in calls per second; `None` without a current report.
    pub(super) fn shared_rate(&self, scope: Scope, now: Millis) -> Option<f64> {
        self.throttle_of(scope).shared_rate(now, self.calls_wanted(scope, now))
    }

    /// This sender's share of the recovery ramp, from 0 to 1: its fraction of the fleet's demand, or an equal
    /// share without a current report.
    pub(super) fn recovery_share(&self, context: &Context, scope: Scope) -> f64 {
        let wanted = self.calls_wanted(scope, context.now);
        let reported = self.throttle_of(scope).demand_fraction(context.now, wanted);
        reported.unwrap_or(1.0 / context.settings.peers_total as f64)
    }

    /// The demand at each limit, except those of routes that are not ready.
    pub fn demands(&self, now: Millis) -> impl Iterator<Item = Demand> {
        let is_ready = |scope: &Scope| match *scope {
            Scope::Route(route_index) => self.routes[route_index].is_ready(),
            Scope::All => true,
        };
        self.throttle_scopes().filter(is_ready).map(move |scope| self.demand(scope, now))
    }

    fn demand(&self, scope: Scope, now: Millis) -> Demand {
        let throttle = self.throttle_of(scope);
        let capacity = throttle.capacity();
        Demand {
            scope: self.limit_scope(scope),
            limit: throttle.limit(),
            calls_wanted: self.calls_wanted(scope, now),
            called: capacity.calls,
            rejected: capacity.rejected,
            failed: capacity.failed,
        }
    }
}

/// Reports of the fleet and of other processes.
impl Destination {
    /// Applies a report about this sender's share of a limit.
    pub fn apply_capacity(&mut self, now: Millis, report: &CapacityUpdate) {
        let Some(scope) = self.throttle_scope(report.scope.route) else { return };
        let update = gossip::CapacityUpdate {
            rate_per_demand: report.calls_per_demand,
            fleet_demand: report.total_demand,
            valid_for: report.valid_for,
            own_demand: self.calls_wanted(scope, now),
            limit: self.throttle_of(scope).limit(),
        };
        self.throttle_of_mut(scope).apply_capacity(now, &update);
    }

    /// Replaces the permits of a limit.
    pub fn apply_permits(&mut self, now: Millis, update: &PermitUpdate) {
        if let Some(throttle) = self.reported_throttle(update.scope.route) {
            throttle.set_permits(now, &update.permits);
        }
    }

    /// Applies a Retry-After that another process of this sender has received.
    pub fn apply_retry_after(&mut self, now: Millis, update: &RetryAfterUpdate) {
        if let Some(throttle) = self.reported_throttle(update.scope.route) {
            throttle.extend_retry_after(now + update.remaining);
        }
    }

    fn reported_throttle(&mut self, route: Option<RouteId>) -> Option<&mut Throttle> {
        let scope = self.throttle_scope(route)?;
        Some(self.throttle_of_mut(scope))
    }
}
