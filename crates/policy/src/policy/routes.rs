//! Questions about the routes and calls of a destination. No decision.

use super::state::Destination;
use crate::calls::Call;
use crate::interface::Millis;

impl Destination {
    /// Whether a circuit breaker that covers the route is open.
    pub(super) fn is_down(&self, index: usize) -> bool {
        self.breaker_scopes(index).any(|scope| self.breaker(scope).is_open())
    }

    /// The overdue calls through a route's throttle.
    pub(super) fn overdue_calls(&self, index: usize, now: Millis) -> impl Iterator<Item = &Call> {
        let route = self.routes[index].id;
        let counted = move |call: &&Call| !self.routes_apart || call.route == route;
        self.calls.iter().filter(move |call| counted(call) && self.is_overdue(call, now))
    }

    /// Overdue calls of a route that has answered nothing since they were sent.
    pub(super) fn unanswered_calls(&self, index: usize, now: Millis) -> usize {
        let route = &self.routes[index];
        let last_answer_at = route.throttle.breaker.last_answer_at;
        self.overdue_calls(index, now)
            .filter(|call| call.route == route.id && call.sent_at >= last_answer_at)
            .count()
    }

    /// The routes that can take a call now.
    pub(super) fn open_routes(&self, now: Millis) -> Vec<usize> {
        (0..self.routes.len()).filter(|&index| self.opens_at(index, now) <= now).collect()
    }

    /// What concerned all routes is no longer held against each.
    pub(super) fn reset_route_breakers(&mut self) {
        for route in &mut self.routes {
            route.throttle.breaker.reset();
        }
    }
}
