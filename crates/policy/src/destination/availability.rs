//! The availability of routes: open circuit breakers, overdue calls, and when the next call may start.

use super::Destination;
use super::scope::Scope;
use crate::calls::Call;
use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{Listing, Millis};
use crate::messages::PendingMessages;

/// A route is unresponsive if at least this number of its calls are overdue, and no answer was received since
/// they were sent.
const UNRESPONSIVE_CALLS: usize = 2;

impl Destination {
    /// Whether a circuit breaker that covers the route is open.
    pub(super) fn is_down(&self, route_index: usize) -> bool {
        self.breaker_scopes(route_index).any(|scope| self.breaker(scope).is_open())
    }

    /// Whether a condition holds for the breaker of a route, or for those of more than half of the ready
    /// routes.
    pub(super) fn holds_for_most(&self, scope: Scope, condition: impl Fn(&CircuitBreaker) -> bool) -> bool {
        match scope {
            Scope::Route(_) => condition(self.breaker(scope)),
            Scope::All => {
                let matching_routes =
                    self.ready_routes().filter(|&route_index| condition(&self.routes[route_index].breaker));
                matching_routes.count() * 2 > self.ready_routes().count()
            }
        }
    }

    /// How long a call may be in flight before it is overdue.
    pub(super) fn overdue_after(&self, route_index: usize) -> Millis {
        self.throttle(route_index).latency().overdue_after()
    }

    /// The overdue calls that belong to the throttle of a route: the calls by that route, or by all routes
    /// that share the throttle.
    pub(super) fn overdue_calls(&self, route_index: usize, now: Millis) -> impl Iterator<Item = &Call> {
        let route = self.routes[route_index].id;
        let uses_the_throttle = move |call: &&Call| !self.limit_per_route || call.route == route;
        self.calls.iter().filter(move |call| uses_the_throttle(call) && self.is_overdue(call, now))
    }

    fn is_overdue(&self, call: &Call, now: Millis) -> bool {
        let is_in_time = |route_index: usize| now - call.sent_at <= self.overdue_after(route_index);
        !call.has_outcome && !self.route_index(call.route).is_some_and(is_in_time)
    }

    /// Number of overdue calls by a route from which no answer was received since they were sent.
    pub(super) fn unanswered_calls(&self, route_index: usize, now: Millis) -> usize {
        let route = &self.routes[route_index];
        let last_answer_at = route.breaker.last_answer_at();
        self.overdue_calls(route_index, now)
            .filter(|call| call.route == route.id && call.sent_at >= last_answer_at)
            .count()
    }

    /// Whether a route, or most routes that share a throttle, have so many unanswered calls that an outage
    /// must be assumed, and the circuit breaker is not open yet.
    pub(super) fn is_unresponsive(&self, scope: Scope, now: Millis) -> bool {
        match scope {
            Scope::Route(route_index) => {
                !self.is_down(route_index) && self.unanswered_calls(route_index, now) >= UNRESPONSIVE_CALLS
            }
            Scope::All => !self.shared_breaker.is_open() && self.are_most_routes_unresponsive(now),
        }
    }

    fn are_most_routes_unresponsive(&self, now: Millis) -> bool {
        let total_unanswered: usize =
            self.ready_routes().map(|route_index| self.unanswered_calls(route_index, now)).sum();
        let unresponsive_routes = self.ready_routes().filter(|&route_index| {
            self.unanswered_calls(route_index, now) > 0 || self.routes[route_index].breaker.is_open()
        });
        total_unanswered >= UNRESPONSIVE_CALLS
            && unresponsive_routes.count() * 2 > self.ready_routes().count()
    }

    /// When the next call by a route may start: the latest time that its throttle, its circuit breakers, its
    /// permits and the last Retry-After set; infinity if the route is not ready.
    fn next_call_at(&self, route_index: usize, now: Millis) -> Millis {
        if !self.routes[route_index].is_ready() {
            return f64::INFINITY;
        }
        let throttle = self.throttle(route_index);
        let mut next_call_at =
            if self.is_down(route_index) { f64::NEG_INFINITY } else { throttle.next_draw_at() };
        for scope in self.breaker_scopes(route_index) {
            next_call_at = next_call_at.max(self.breaker(scope).next_call_at());
        }
        // Extension (permits are required): every call needs a permit, including half-open probes, so that
        // the fleet does not exceed the limit.
        next_call_at = next_call_at.max(throttle.next_permit_at(now));
        next_call_at.max(throttle.retry_after_until())
    }

    /// The indices of the routes by which a call may start now.
    pub(super) fn callable_routes(&self, now: Millis) -> Vec<usize> {
        (0..self.routes.len()).filter(|&route_index| self.next_call_at(route_index, now) <= now).collect()
    }

    /// When the next final outcome or draw of a waiting message is due; infinity if none is.
    pub fn next_due_at(&self, messages: &PendingMessages, now: Millis) -> Millis {
        let messages = self.waiting.iter().filter_map(|&id| messages.get(id));
        let next_calls = (0..self.routes.len()).map(|route_index| self.next_call_at(route_index, now));
        messages
            .map(|message| message.outcome_due_at)
            .chain(next_calls.filter(|&next_call_at| next_call_at > now))
            .fold(f64::INFINITY, f64::min)
    }

    /// Number of listed routes that accept no calls other than probes now, because they are draining, in an
    /// outage, or within a Retry-After.
    pub fn routes_out_of_rotation(&self, now: Millis) -> usize {
        let is_out_of_rotation = |&route_index: &usize| match self.routes[route_index].listing {
            Listing::Ready => {
                self.is_down(route_index) || self.throttle(route_index).retry_after_until() > now
            }
            Listing::Draining => true,
            Listing::Removed => false,
        };
        (0..self.routes.len()).filter(is_out_of_rotation).count()
    }
}
