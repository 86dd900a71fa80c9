//! Chooses the route of a message: the routes draw in an order of preference.

use std::cmp::Reverse;

use super::Destination;
use super::dispatch::Dispatch;
use super::scope::Scope;
use crate::context::Context;
use crate::interface::{Effect, MessageHandle, RouteId};
use crate::messages::PendingMessage;
use crate::throttle::Draw;
use crate::window::COUNT_WINDOW;

/// The order of preference among routes, the least one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoutePreference {
    is_down: bool,
    is_suspect: bool,
    is_not_closed: bool,
    /// When all routes are down: when it was used last, in ms; else 0.
    probed_at: u64,
    in_other_zone: bool,
    calls_in_flight: usize,
    /// The most recently used one first: it is likely to have an open connection.
    last_used_at: Reverse<u64>,
    id: RouteId,
}

impl Destination {
    /// Whether a message may be sent by a route.
    pub(super) fn may_use(&self, dispatch: &Dispatch<'_>, id: MessageHandle, index: usize) -> bool {
        let route = &self.routes[index];
        let message = dispatch.messages.get(id);
        message
            .is_some_and(|message| message.may_be_sent_by(&dispatch.context.settings, route.id, route.zone))
    }

    /// The first open route, in order of preference, that lets the message pass.
    pub(super) fn choose_route(
        &mut self,
        dispatch: &mut Dispatch<'_>,
        id: MessageHandle,
        open: &[usize],
    ) -> Option<usize> {
        let effect = dispatch.messages.get(id)?.effect(&dispatch.context.settings);
        let mut candidates: Vec<usize> = open.to_vec();
        candidates.retain(|&index| self.may_use(dispatch, id, index));
        candidates.sort_by_cached_key(|&index| self.preference(dispatch.context, index));
        candidates.into_iter().find(|&index| {
            // Departure (the circuit breaker is open): a half-open probe does not draw. It must be safe to
            // repeat.
            if self.is_down(index) {
                effect != Effect::NotIdempotent
            } else {
                self.passes_throttle(dispatch, index, id)
            }
        })
    }

    fn preference(&self, context: &Context, index: usize) -> RoutePreference {
        let route = &self.routes[index];
        let is_down = self.is_down(index);
        // After a recent failure another route is preferred: a sender of a large fleet rarely sees
        // enough failures in a row to open the breaker.
        let failed_recently =
            route.breaker.is_failing() && context.now - route.last_used_at < COUNT_WINDOW.min_span;
        let all_are_down = self.shared_breaker.is_open();
        RoutePreference {
            is_down,
            // Departure (other senders have ejected the route): other routes draw first.
            is_suspect: route.ejected || is_down || failed_recently,
            is_not_closed: !route.breaker.is_closed(),
            probed_at: if all_are_down { route.last_used_at as u64 } else { 0 },
            in_other_zone: route.zone != context.settings.zone,
            calls_in_flight: self.calls.count_of(route.id),
            last_used_at: Reverse(route.last_used_at as u64),
            id: route.id,
        }
    }

    /// Draws whether a route's throttle lets the message pass; after a drop the throttle backs off.
    fn passes_throttle(&mut self, dispatch: &mut Dispatch<'_>, index: usize, id: MessageHandle) -> bool {
        let context = &mut *dispatch.context;
        let overdue = self.overdue_calls(index, context.now).count();
        let shared_rate = self.shared_rate(Scope::Route(index), context.now);
        let throttle = self.throttle_mut(index);
        match throttle.draw(context, overdue, shared_rate) {
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
