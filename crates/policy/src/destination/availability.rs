//! Which routes can take a call: open circuit breakers, overdue calls, and when the next call may start.

use super::Destination;
use super::scope::Scope;
use crate::calls::Call;
use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{Listing, Millis};
use crate::messages::PendingMessages;

/// Number of overdue calls, without an answer since they were sent, that show an unresponsive route.
const UNRESPONSIVE_CALLS: usize = 2;

impl Destination {
    /// Whether a circuit breaker that covers the route is open.
    pub(super) fn is_down(&self, index: usize) -> bool {
        self.breaker_scopes(index).any(|scope| self.breaker(scope).is_open())
    }

    /// Whether a condition holds for a route, or for most of the routes that are ready.
    pub(super) fn holds_for_most(&self, scope: Scope, holds: impl Fn(&CircuitBreaker) -> bool) -> bool {
        match scope {
            Scope::Route(_) => holds(self.breaker(scope)),
            Scope::All => {
                let matching = self.ready_routes().filter(|&index| holds(&self.routes[index].breaker));
                matching.count() * 2 > self.ready_routes().count()
            }
        }
    }

    /// How long a call may be in flight before it is overdue.
    pub(super) fn overdue_after(&self, index: usize) -> Millis {
        self.throttle(index).latency().overdue_after()
    }

    /// The overdue calls through a route's throttle.
    pub(super) fn overdue_calls(&self, index: usize, now: Millis) -> impl Iterator<Item = &Call> {
        let route = self.routes[index].id;
        let counted = move |call: &&Call| !self.limit_per_route || call.route == route;
        self.calls.iter().filter(move |call| counted(call) && self.is_overdue(call, now))
    }

    fn is_overdue(&self, call: &Call, now: Millis) -> bool {
        let in_time = |index: usize| now - call.sent_at <= self.overdue_after(index);
        !call.has_outcome && !self.route_index(call.route).is_some_and(in_time)
    }

    /// Number of overdue calls of a route that has answered nothing since they were sent.
    pub(super) fn unanswered_calls(&self, index: usize, now: Millis) -> usize {
        let route = &self.routes[index];
        let last_answer_at = route.breaker.last_answer_at();
        self.overdue_calls(index, now)
            .filter(|call| call.route == route.id && call.sent_at >= last_answer_at)
            .count()
    }

    /// Whether a route, or most routes that share a throttle, have so many unanswered calls that they must be
    /// down, while their circuit breaker is not open.
    pub(super) fn is_unresponsive(&self, scope: Scope, now: Millis) -> bool {
        match scope {
            Scope::Route(index) => {
                !self.is_down(index) && self.unanswered_calls(index, now) >= UNRESPONSIVE_CALLS
            }
            Scope::All => !self.shared_breaker.is_open() && self.are_most_routes_unresponsive(now),
        }
    }

    fn are_most_routes_unresponsive(&self, now: Millis) -> bool {
        let unanswered: usize = self.ready_routes().map(|index| self.unanswered_calls(index, now)).sum();
        let unresponsive = self
            .ready_routes()
            .filter(|&index| self.unanswered_calls(index, now) > 0 || self.routes[index].breaker.is_open());
        unanswered >= UNRESPONSIVE_CALLS && unresponsive.count() * 2 > self.ready_routes().count()
    }

    /// When a route's next call may start, by its throttle and its circuit breakers.
    fn opens_at(&self, index: usize, now: Millis) -> Millis {
        if !self.routes[index].is_ready() {
            return f64::INFINITY;
        }
        let throttle = self.throttle(index);
        let mut opens_at = if self.is_down(index) { f64::NEG_INFINITY } else { throttle.next_draw_at() };
        for scope in self.breaker_scopes(index) {
            opens_at = opens_at.max(self.breaker(scope).next_call_at());
        }
        // Departure (permits are required): every call needs one, a half-open probe too.
        opens_at = opens_at.max(throttle.next_permit_at(now));
        opens_at.max(throttle.retry_after_until())
    }

    /// The routes that can take a call now.
    pub(super) fn open_routes(&self, now: Millis) -> Vec<usize> {
        (0..self.routes.len()).filter(|&index| self.opens_at(index, now) <= now).collect()
    }

    /// When a waiting message is due next: for its final outcome, or for a draw.
    pub fn next_due_at(&self, messages: &PendingMessages, now: Millis) -> Millis {
        let outcomes = self.waiting.iter().filter_map(|&id| messages.get(id));
        let opens = (0..self.routes.len()).map(|index| self.opens_at(index, now));
        outcomes
            .map(|message| message.outcome_due_at)
            .chain(opens.filter(|&opens_at| opens_at > now))
            .fold(f64::INFINITY, f64::min)
    }

    /// Number of listed routes that take no ordinary calls now: draining, down, or within a Retry-After.
    pub fn routes_out_of_rotation(&self, now: Millis) -> usize {
        let is_out_of_rotation = |&index: &usize| match self.routes[index].listing {
            Listing::Ready => self.is_down(index) || self.throttle(index).retry_after_until() > now,
            Listing::Draining => true,
            Listing::Removed => false,
        };
        (0..self.routes.len()).filter(is_out_of_rotation).count()
    }
}
