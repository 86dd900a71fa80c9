//! Whether a destination's routes can take calls: overdue calls, silence, and when a route opens.

use super::scope::Scope;
use super::state::Destination;
use crate::calls::Call;
use crate::circuit_breaker::{BreakerState, CircuitBreaker};
use crate::interface::{Listing, Millis};

/// A call is overdue after the mean latency of its throttle and this many deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// No call is overdue before this, ms: short stalls are no outage.
const MIN_OVERDUE: Millis = 1_000.0;
/// Overdue calls without an answer since that make a route silent.
const SILENT_CALLS: usize = 2;

impl Destination {
    /// Whether this holds for a route, or for most of the routes that are ready.
    pub(super) fn holds_for_most(&self, scope: Scope, holds: impl Fn(&CircuitBreaker) -> bool) -> bool {
        match scope {
            Scope::Route(_) => holds(self.breaker(scope)),
            Scope::All => {
                let matching =
                    self.ready_routes().filter(|&index| holds(&self.routes[index].throttle.breaker));
                matching.count() * 2 > self.ready_routes().count()
            }
        }
    }

    /// How long a call may be in flight before it is overdue.
    pub(super) fn overdue_after(&self, index: usize) -> Millis {
        self.throttle(index).latency.upper_bound(OVERDUE_DEVIATIONS).max(MIN_OVERDUE)
    }

    /// Whether a call has no outcome yet and is overdue.
    pub(super) fn is_overdue(&self, call: &Call, now: Millis) -> bool {
        let in_time = |index: usize| now - call.sent_at <= self.overdue_after(index);
        !call.has_outcome && !self.route_index(call.route).is_some_and(in_time)
    }

    /// Whether so many calls are unanswered that a route, or most routes that share a throttle, must be down.
    pub(super) fn is_silent(&self, scope: Scope, now: Millis) -> bool {
        match scope {
            Scope::Route(index) => !self.is_down(index) && self.unanswered_calls(index, now) >= SILENT_CALLS,
            Scope::All => !self.shared_throttle.breaker.is_open() && self.are_most_routes_silent(now),
        }
    }

    fn are_most_routes_silent(&self, now: Millis) -> bool {
        let unanswered: usize = self.ready_routes().map(|index| self.unanswered_calls(index, now)).sum();
        let silent = self.ready_routes().filter(|&index| {
            self.unanswered_calls(index, now) > 0 || self.routes[index].throttle.breaker.is_open()
        });
        unanswered >= SILENT_CALLS && silent.count() * 2 > self.ready_routes().count()
    }

    /// From when on a route can take a call, by its throttle and its circuit breakers.
    pub(super) fn opens_at(&self, index: usize, now: Millis) -> Millis {
        if self.routes[index].listing != Listing::Ready {
            return f64::INFINITY;
        }
        let throttle = self.throttle(index);
        let mut opens_at = if self.is_down(index) { f64::NEG_INFINITY } else { throttle.next_draw_at };
        for scope in self.breaker_scopes(index) {
            let breaker = self.breaker(scope);
            opens_at = opens_at.max(match breaker.state {
                BreakerState::Closed => f64::NEG_INFINITY,
                BreakerState::Open { probe_at, .. } => probe_at,
                BreakerState::SlowStart { .. } => breaker.next_call_at,
            });
        }
        // Departure (permits are required): whatever else holds, a call needs a permit.
        opens_at = opens_at.max(throttle.capacity.next_lease_at(now));
        opens_at.max(throttle.retry_after_until)
    }
}
