//! Decides by which route a message goes, if by any.

use std::cmp::Reverse;

use super::Policy;
use super::scope::Scope;
use super::state::{Destination, Route};
use super::throttle::COUNT_WINDOW;
use crate::circuit_breaker::BreakerState;
use crate::interface::{Effect, KeyGroup, MessageHandle, RouteId};

/// How much is wrong with a route, the least first: an order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoutePreference {
    is_down: bool,
    is_suspect: bool,
    is_not_closed: bool,
    /// When all routes are down: the least recently used one first, ms.
    probed_at: u64,
    in_other_zone: bool,
    calls_in_flight: usize,
    /// The most recently used one first: an open connection is likely there.
    last_used_at: Reverse<u64>,
    id: RouteId,
}

impl Policy {
    /// Whether the message may be sent by this route: no effect happens twice.
    pub(super) fn is_allowed(&self, id: MessageHandle, route: &Route) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let Some(execution) = message.possibly_executed else { return true };
        match self.settings.classes[message.weight.class].effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group: KeyGroup::All, .. } => true,
            Effect::IdempotencyKey { group: KeyGroup::Zone, .. } => execution.zone == route.zone,
            Effect::IdempotencyKey { group: KeyGroup::Route, .. } => execution.route == route.id,
            Effect::NotIdempotent => false,
        }
    }

    /// The first open route, in order of preference, that lets the message through.
    pub(super) fn choose_route(
        &mut self,
        destination: &mut Destination,
        id: MessageHandle,
        open: &[usize],
    ) -> Option<usize> {
        let effect = self.settings.classes[self.messages.get(&id)?.weight.class].effect;
        let mut candidates: Vec<usize> = open.to_vec();
        candidates.retain(|&index| self.is_allowed(id, &destination.routes[index]));
        candidates.sort_by_key(|&index| self.preference(destination, index));
        for index in candidates {
            // Departure (the circuit breaker is open): a half-open probe goes without a draw; it must be safe
            // to repeat.
            let passes = if destination.is_down(index) {
                effect != Effect::NotIdempotent
            } else {
                self.passes_throttle(destination, index, id)
            };
            if passes {
                return Some(index);
            }
        }
        None
    }

    fn preference(&self, destination: &Destination, index: usize) -> RoutePreference {
        let route = &destination.routes[index];
        let breaker = &route.throttle.breaker;
        let is_down = destination.is_down(index);
        // A recent failure sends the next call to a sister route: one of hundreds of senders rarely sees four
        // failures in a row.
        let failed_recently = breaker.is_failing() && self.now - route.last_used_at < COUNT_WINDOW.min_span;
        let all_are_down = destination.shared_throttle.breaker.is_open();
        RoutePreference {
            is_down,
            // Departure (other senders have ejected it): healthy routes go first.
            is_suspect: route.ejected || is_down || failed_recently,
            is_not_closed: breaker.state != BreakerState::Closed,
            probed_at: if all_are_down { route.last_used_at as u64 } else { 0 },
            in_other_zone: route.zone != self.settings.zone,
            calls_in_flight: route.calls_in_flight,
            last_used_at: Reverse(route.last_used_at as u64),
            id: route.id,
        }
    }

    /// Draws whether a route's throttle lets the message through; if it is dropped, the throttle backs off.
    fn passes_throttle(&mut self, destination: &mut Destination, index: usize, id: MessageHandle) -> bool {
        let overdue = destination.overdue_calls(index, self.now).count();
        let follows_fleet = destination.fleet_pace(Scope::Route(index), self.now).is_some();
        let throttle = destination.throttle_mut(index);
        if throttle.next_draw_at > self.now {
            return false;
        }
        // Departure (the fleet's reports are fresh): their pace is what the formula lets through of all
        // senders.
        if follows_fleet || self.rng.unit() >= throttle.drop_probability(self.now, overdue) {
            return true;
        }
        // Departure (a message draws again): it counts as one request, or random losses would close the
        // throttle.
        let counted = self.mark_dropped(id);
        throttle.window.count(self.now, if counted { 0.0 } else { 1.0 }, 0.0);
        throttle.next_draw_at = self.now + self.rng.pause(1_000.0 / throttle.pace);
        false
    }
}
