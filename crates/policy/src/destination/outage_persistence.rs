//! Reports outages to the host, which persists them, and restores them after a restart.

use super::Destination;
use crate::context::Context;
use crate::interface::{Action, Millis, OutageState, PersistedOutage};

impl Destination {
    /// Appends an action for each outage state that has changed, so that the host persists it.
    pub fn report_outages(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for scope in self.throttle_scopes() {
            let retry_after_until = self.throttle_of(scope).retry_after_until();
            let outage = self.breaker_mut(scope).unreported_outage(now, retry_after_until);
            if let Some(outage) = outage {
                let scope = self.to_limit_scope(scope);
                actions.push(Action::PersistOutage { scope, outage });
            }
        }
    }

    /// Restores an outage that the host persisted before a restart.
    pub fn restore_outage(&mut self, context: &mut Context, persisted: &PersistedOutage) {
        let route = persisted.scope.route;
        // An outage of a single route is ignored where routes share a limit.
        let is_scope_of_a_limit = self.limit_per_route || route.is_none();
        let Some(scope) = self.resolve_scope(route).filter(|_| is_scope_of_a_limit) else { return };
        match persisted.outage {
            OutageState::Healthy => {}
            OutageState::Down { retry_after_remaining } => {
                let retry_after_until = context.now + retry_after_remaining;
                self.throttle_of_mut(scope).extend_retry_after(retry_after_until);
                let limits = self.recovery_limits(context, scope);
                self.breaker_mut(scope).open(context, &limits, 0.0);
            }
            OutageState::WarmingUp { since_recovery, ramp_share } => {
                let since = context.now - since_recovery;
                let limits = self.recovery_limits(context, scope);
                self.breaker_mut(scope).restore_slow_start(context, &limits, since, ramp_share);
            }
        }
    }
}
