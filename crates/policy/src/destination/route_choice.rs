//! Chooses the route of a message: the first route, in order of preference, whose draw passes.

use std::cmp::Reverse;

use super::Destination;
use super::dispatch::Dispatch;
use super::scope::Scope;
use crate::context::Context;
use crate::interface::{Effect, MessageHandle, RouteId};
use crate::messages::PendingMessage;
use crate::throttle::Draw;
use crate::window::COUNT_WINDOW;

/// Sort key of a route; the least one is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoutePreference {
    /// Whether a circuit breaker that covers the route is open.
    is_down: bool,
    /// Whether the route is down, has failed recently, or was ejected by other senders.
    is_suspect: bool,
    /// Whether the circuit breaker of the route is open or in slow start.
    is_breaker_not_closed: bool,
    /// While the shared breaker is open: when the route was used last, in ms, so that probes alternate
    /// between routes; otherwise 0.
    last_probed_at: u64,
    in_other_zone: bool,
    calls_in_flight: usize,
    /// Prefers the most recently used route, because it is likely to have an open connection.
    last_used_at: Reverse<u64>,
    id: RouteId,
}

impl Destination {
    /// Whether a message may be sent by a route.
    pub(super) fn may_use(&self, dispatch: &Dispatch<'_>, id: MessageHandle, route_index: usize) -> bool {
        let route = &self.routes[route_index];
        let message = dispatch.messages.get(id);
        message
            .is_some_and(|message| message.may_be_sent_by(&dispatch.context.settings, route.id, route.zone))
    }

    /// The first of the callable routes, in order of preference, by which the message may be sent now.
    pub(super) fn choose_route(
        &mut self,
        dispatch: &mut Dispatch<'_>,
        id: MessageHandle,
        callable: &[usize],
    ) -> Option<usize> {
        let effect = dispatch.messages.get(id)?.effect(&dispatch.context.settings);
        let mut candidates: Vec<usize> = callable.to_vec();
        candidates.retain(|&route_index| self.may_use(dispatch, id, route_index));
        candidates.sort_by_cached_key(|&route_index| self.preference(dispatch.context, route_index));
        candidates.into_iter().find(|&route_index| {
            // Extension (the circuit breaker is open): a half-open probe does not draw, because the breaker
            // limits probes already. The message must be safe to repeat.
            if self.is_down(route_index) {
                effect != Effect::NotIdempotent
            } else {
                self.passes_throttle(dispatch, route_index, id)
            }
        })
    }

    fn preference(&self, context: &Context, route_index: usize) -> RoutePreference {
        let route = &self.routes[route_index];
        let is_down = self.is_down(route_index);
        // After a recent failure another route is preferred, because a sender in a large fleet rarely
        // observes enough consecutive failures to open the breaker.
        let failed_recently =
            route.breaker.is_failing() && context.now - route.last_used_at < COUNT_WINDOW.min_span;
        let is_destination_down = self.shared_breaker.is_open();
        RoutePreference {
            is_down,
            // Extension (other senders have ejected the route): other routes draw first, because the ejected
            // one is likely to fail.
            is_suspect: route.ejected || is_down || failed_recently,
            is_breaker_not_closed: !route.breaker.is_closed(),
            last_probed_at: if is_destination_down { route.last_used_at as u64 } else { 0 },
            in_other_zone: route.zone != context.settings.zone,
            calls_in_flight: self.calls.count_by_route(route.id),
            last_used_at: Reverse(route.last_used_at as u64),
            id: route.id,
        }
    }

    /// Draws at a route's throttle, which backs off if the message is dropped. Returns whether the message
    /// may be sent now.
    fn passes_throttle(
        &mut self,
        dispatch: &mut Dispatch<'_>,
        route_index: usize,
        id: MessageHandle,
    ) -> bool {
        let context = &mut *dispatch.context;
        let overdue_call_count = self.overdue_calls(route_index, context.now).count();
        let shared_rate = self.shared_rate(Scope::Route(route_index), context.now);
        let throttle = self.throttle_mut(route_index);
        match throttle.draw(context, overdue_call_count, shared_rate) {
            Draw::Passed => true,
            Draw::NotDue => false,
            Draw::Dropped => {
                let message = dispatch.messages.get_mut(id);
                let was_dropped_before = message.is_some_and(PendingMessage::mark_dropped);
                throttle.record_drop(context, was_dropped_before);
                false
            }
        }
    }
}
