//! Applies each event to the state, or passes it on to the step that decides. No decision.

use rudderspindle_gossip::{CapacityShare, PermitLease, ScheduledCall};

use super::Policy;
use super::state::Throttle;
use crate::interface::{
    Action, AttemptHistory, CapacityUpdate, Event, LimitScope, MessageHandle, Permit, PermitUpdate,
    RetryAfterUpdate, RouteId,
};

impl Policy {
    /// Applies one event.
    pub(super) fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::List(change) => self.apply_list_change(change),
            Event::Message(message) => self.admit(message, &AttemptHistory::default()),
            Event::Recovered(message, history) => self.admit(message, history),
            Event::Remembered(remembered) => self.restore_outage(remembered),
            Event::RetryAfter(update) => self.apply_retry_after(update),
            Event::Capacity(update) => self.apply_capacity(update),
            Event::Permits(update) => self.apply_permits(update),
            Event::EjectedReceivers(ejected) => self.apply_ejections(ejected),
            Event::Quota { tenant, per_s } => self.quotas.set_share(*tenant, *per_s),
            Event::Started { id, attempt } => self.apply_start_of_response(*id, *attempt),
            Event::Outcome(result) => self.apply_result(result, actions),
            Event::Dropped(id) => self.complete(*id),
            Event::Wake(token) => self.wake_timer.fired(*token),
            Event::HealthChecked { .. } => {}
        }
    }

    /// Another process of this sender uses so many of its slots now.
    pub fn set_slots_used_by_peer(&mut self, used: usize) {
        self.slots_used_by_peer = used;
    }

    /// From now on the host reports what other senders want.
    pub fn expect_capacity_reports(&mut self) {
        self.expects_capacity = true;
    }

    /// From now on the host hands out permits: no call starts without one.
    pub fn require_permits(&mut self) {
        self.needs_permits = true;
    }

    /// The capacity of a limit before anything was reported of it.
    pub(super) fn unreported_capacity(&self, limit: f64) -> CapacityShare {
        let mut capacity = CapacityShare::default();
        if self.expects_capacity {
            capacity = CapacityShare::equal(self.now, limit, self.settings.peers_total);
        }
        if self.needs_permits {
            capacity = capacity.requiring_permits();
        }
        capacity
    }

    fn throttle_at(&mut self, limit: LimitScope) -> Option<&mut Throttle> {
        let destination = self.destinations.get_mut(&limit.destination)?;
        let scope = destination.throttle_scope(limit.route)?;
        Some(destination.throttle_of_mut(scope))
    }

    fn apply_retry_after(&mut self, update: &RetryAfterUpdate) {
        let until = self.now + update.remaining;
        if let Some(throttle) = self.throttle_at(update.scope) {
            throttle.retry_after_until = throttle.retry_after_until.max(until);
        }
    }

    fn apply_capacity(&mut self, update: &CapacityUpdate) {
        let Some(destination) = self.destinations.get_mut(&update.scope.destination) else { return };
        let Some(scope) = destination.throttle_scope(update.scope.route) else { return };
        let demand = destination.demand(scope, self.now);
        let throttle = destination.throttle_of_mut(scope);
        let update = rudderspindle_gossip::CapacityUpdate {
            rate_per_demand: update.calls_per_demand,
            fleet_demand: update.total_demand,
            valid_for: update.valid_for,
            own_demand: demand.wanted,
            limit: demand.limit,
        };
        let scheduled =
            ScheduledCall { due_at: throttle.next_draw_at, not_before: throttle.retry_after_until };
        throttle.next_draw_at = throttle.capacity.apply(self.now, &update, scheduled);
    }

    fn apply_permits(&mut self, update: &PermitUpdate) {
        let now = self.now;
        let Some(throttle) = self.throttle_at(update.scope) else { return };
        let lease = |permit: &Permit| PermitLease {
            number: permit.number,
            from: now + permit.from,
            until: now + permit.until,
        };
        let leases: Vec<PermitLease> = update.permits.iter().map(lease).collect();
        throttle.capacity.set_leases(now, &leases);
    }

    fn apply_ejections(&mut self, ejected: &[RouteId]) {
        for destination in self.destinations.values_mut() {
            for route in &mut destination.routes {
                route.ejected = ejected.contains(&route.id);
            }
        }
    }

    /// A response that has begun to stream is the client's: the message no longer runs out of time.
    fn apply_start_of_response(&mut self, id: MessageHandle, attempt: u32) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if message.in_flight.is_some_and(|in_flight| in_flight.attempt == attempt) {
            message.weight.expires_at = f64::INFINITY;
        }
    }
}
