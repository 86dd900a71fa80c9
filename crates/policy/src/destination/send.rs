//! Sends a call: schedules the draw of the next call, and sets the time-out of each attempt.

use super::Destination;
use super::dispatch::Dispatch;
use super::scope::Scope;
use crate::calls::Call;
use crate::context::Context;
use crate::interface::{Action, Effect, MessageHandle, Millis};
use crate::messages::PendingMessage;

/// Time-out of an attempt, as a multiple of the time after which it is overdue.
const TIMEOUT_MULTIPLE: f64 = 3.0;

impl Destination {
    /// Sends one call by a route; the call carries the messages of `batch`.
    pub(super) fn send(
        &mut self,
        dispatch: &mut Dispatch<'_>,
        batch: Vec<MessageHandle>,
        route_index: usize,
    ) {
        let is_rate_limited = self.record_call_at_throttle(dispatch.context, route_index);
        self.waiting.retain(|id| !batch.contains(id));
        self.record_call_at_breakers(dispatch.context, route_index);
        let call = self.begin_call(dispatch, route_index, batch.len(), is_rate_limited);
        for id in batch {
            let Some(message) = dispatch.messages.get_mut(id) else { continue };
            let timeout = self.attempt_timeout(dispatch.context, message, route_index);
            message.begin_attempt(call.id);
            let start_within = message.outcome_due_at - dispatch.context.now;
            dispatch.actions.push(Action::Send { id, route: call.route, timeout, start_within });
        }
    }

    /// Records the call at the route's throttle, which schedules the draw of the next call. Returns whether
    /// the send rate limits the calls.
    fn record_call_at_throttle(&mut self, context: &mut Context, route_index: usize) -> bool {
        let shared_rate = self.shared_rate(Scope::Route(route_index), context.now);
        self.throttle_mut(route_index).record_call(context, shared_rate)
    }

    /// Records the call at the route's circuit breakers, which schedule the next probe or the next call of
    /// slow start.
    fn record_call_at_breakers(&mut self, context: &mut Context, route_index: usize) {
        for scope in self.breaker_scopes(route_index) {
            let limits = self.recovery_limits(context, scope);
            let overdue_after = self.overdue_after(route_index);
            self.breaker_mut(scope).record_call(context, &limits, overdue_after);
        }
    }

    fn begin_call(
        &mut self,
        dispatch: &mut Dispatch<'_>,
        route_index: usize,
        message_count: usize,
        is_rate_limited: bool,
    ) -> Call {
        let now = dispatch.context.now;
        let route = &mut self.routes[route_index];
        route.last_used_at = now;
        let call = Call::new(dispatch.slots.acquire(), route.id, now, message_count, is_rate_limited);
        self.calls.add(call);
        call
    }

    /// The time-out of an attempt. A message that must not be repeated may use all of its remaining time; any
    /// other time-out is shorter, so that time remains for a retry.
    fn attempt_timeout(&self, context: &Context, message: &PendingMessage, route_index: usize) -> Millis {
        let time_left = message.weight.expires_at - context.now;
        let retryable_timeout = self.overdue_after(route_index) * TIMEOUT_MULTIPLE;
        let timeout = match message.effect(&context.settings) {
            Effect::NotIdempotent => time_left,
            Effect::Idempotent => retryable_timeout,
            Effect::IdempotencyKey { window, .. } => retryable_timeout.min(window / 2.0),
        };
        timeout.min(time_left)
    }
}
