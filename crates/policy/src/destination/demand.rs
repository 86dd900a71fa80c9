//! The demand of this sender at each limit, and updates of this sender's share of a limit.

use rudderspindle_gossip as gossip;

use super::Destination;
use super::scope::Scope;
use crate::context::Context;
use crate::interface::{CapacityUpdate, Demand, Millis, PermitUpdate, RetryAfterUpdate, RouteId};
use crate::throttle::Throttle;

/// Messages that are expected to arrive within this time, in ms, count as demand. The next capacity update
/// may arrive later.
const DEMAND_HORIZON: Millis = 500.0;

/// Demand at each limit, and this sender's rate and share there.
impl Destination {
    /// Number of calls within a limit that are needed to send the waiting and the expected messages. Where
    /// each route has a limit of its own, the messages are divided among the ready routes in proportion to
    /// these limits.
    fn calls_wanted(&self, scope: Scope, now: Millis) -> f64 {
        let limit = self.throttle_of(scope).limit();
        let total_limit = if self.limit_per_route {
            self.ready_routes().map(|route_index| self.routes[route_index].throttle.limit()).sum()
        } else {
            limit
        };
        let message_count =
            self.waiting.len() as f64 + self.arrival_rate.expected_within(now, DEMAND_HORIZON);
        message_count * limit / f64::max(total_limit, limit)
    }

    /// The call rate that the last capacity update allows this sender, in calls per second; `None` without a
    /// valid update.
    pub(super) fn shared_rate(&self, scope: Scope, now: Millis) -> Option<f64> {
        self.throttle_of(scope).shared_rate(now, self.calls_wanted(scope, now))
    }

    /// This sender's share of the recovery ramp, from 0 to 1: its fraction of the fleet's demand, or an equal
    /// share without a valid capacity update.
    pub(super) fn recovery_share(&self, context: &Context, scope: Scope) -> f64 {
        let wanted = self.calls_wanted(scope, context.now);
        let demand_fraction = self.throttle_of(scope).demand_fraction(context.now, wanted);
        demand_fraction.unwrap_or(1.0 / context.settings.peers_total as f64)
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
            scope: self.to_limit_scope(scope),
            limit: throttle.limit(),
            calls_wanted: self.calls_wanted(scope, now),
            calls_made: capacity.calls,
            rejected: capacity.rejected,
            failed: capacity.failed,
        }
    }
}

/// Updates that the host forwards from other senders, and from other processes of this sender.
impl Destination {
    /// Applies an update of this sender's share of a limit.
    pub fn apply_capacity(&mut self, now: Millis, update: &CapacityUpdate) {
        let Some(scope) = self.resolve_scope(update.scope.route) else { return };
        let gossip_update = gossip::CapacityUpdate {
            rate_per_demand: update.rate_per_demand,
            fleet_demand: update.fleet_demand,
            valid_for: update.valid_for,
            own_demand: self.calls_wanted(scope, now),
            limit: self.throttle_of(scope).limit(),
        };
        self.throttle_of_mut(scope).apply_capacity(now, &gossip_update);
    }

    /// Replaces the permits of a limit.
    pub fn apply_permits(&mut self, now: Millis, update: &PermitUpdate) {
        if let Some(throttle) = self.resolve_throttle_mut(update.scope.route) {
            throttle.set_permits(now, &update.permits);
        }
    }

    /// Applies a Retry-After that another process of this sender has received.
    pub fn apply_retry_after(&mut self, now: Millis, update: &RetryAfterUpdate) {
        if let Some(throttle) = self.resolve_throttle_mut(update.scope.route) {
            throttle.extend_retry_after(now + update.remaining);
        }
    }

    /// The throttle that counts the calls within a limit; `route` is the route of the limit's scope.
    fn resolve_throttle_mut(&mut self, route: Option<RouteId>) -> Option<&mut Throttle> {
        let scope = self.resolve_scope(route)?;
        Some(self.throttle_of_mut(scope))
    }
}
