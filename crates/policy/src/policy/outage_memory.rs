//! Reports outages that must be known after a restart, and applies them again. No decision.

use super::Policy;
use super::scope::Scope;
use super::state::Destination;
use crate::interface::{Action, DestinationId, LimitScope, Millis, OutageState, RememberedOutage};

impl Policy {
    /// Has the host remember the outages of a destination, where they have changed.
    pub(super) fn report_outages(&mut self, id: DestinationId, actions: &mut Vec<Action>) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        for scope in destination.throttle_scopes() {
            let route = destination.route_of(scope);
            let retry_after_until = destination.throttle_of(scope).retry_after_until;
            let breaker = destination.breaker_mut(scope);
            if let Some(outage) = breaker.unreported_outage(self.now, retry_after_until) {
                let scope = LimitScope { destination: id, route };
                actions.push(Action::Remember { scope, outage });
            }
        }
    }

    /// Restores what the host remembered of a destination's outage, or of that of a route with a limit of its
    /// own.
    pub(super) fn restore_outage(&mut self, remembered: &RememberedOutage) {
        let LimitScope { destination: id, route } = remembered.scope;
        let Some(mut destination) = self.destinations.get_mut(&id).map(std::mem::take) else { return };
        let scope = destination.throttle_scope(route).filter(|_| destination.routes_apart || route.is_none());
        if let Some(scope) = scope {
            match remembered.outage {
                OutageState::Healthy => {}
                OutageState::Down { retry_after_remaining } => {
                    self.restore_open_breaker(&mut destination, scope, retry_after_remaining);
                }
                OutageState::WarmingUp { since_recovery, ramp_share } => {
                    let since = self.now - since_recovery;
                    self.restore_slow_start(&mut destination, scope, since, ramp_share);
                }
            }
        }
        self.destinations.insert(id, destination);
    }

    fn restore_open_breaker(&mut self, destination: &mut Destination, scope: Scope, remaining: Millis) {
        let throttle = destination.throttle_of_mut(scope);
        throttle.retry_after_until = throttle.retry_after_until.max(self.now + remaining);
        destination.breaker_mut(scope).failing_since = self.now;
        self.open_breaker(destination, scope, 0.0, false);
    }
}
