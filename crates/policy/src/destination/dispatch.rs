//! Sends the waiting messages of a destination for which throttles, circuit breakers and free slots allow
//! calls.

use std::collections::VecDeque;

use super::Destination;
use crate::calls::{Call, CallId};
use crate::context::Context;
use crate::interface::{Action, Effect, MessageHandle, Millis};
use crate::messages::PendingMessages;
use crate::slots::CallSlots;

/// An overdue call counts as lost only after this number of successful calls that were sent later by the same
/// route.
const MIN_LATER_SUCCESSES: u32 = 10;
/// Minimum time in flight of a lost call, as a multiple of the time after which a call is overdue.
const LOST_CALL_MULTIPLE: f64 = 1.3;
/// Maximum number of calls in flight to a destination without unanswered calls, as a multiple of the number
/// of free slots.
const CALLS_PER_FREE_SLOT: usize = 3;

/// The state of the policy that all destinations use while they send.
#[derive(Debug)]
pub(crate) struct Dispatch<'a> {
    pub context: &'a mut Context,
    pub messages: &'a mut PendingMessages,
    pub slots: &'a mut CallSlots,
    pub actions: &'a mut Vec<Action>,
}

impl Dispatch<'_> {
    fn is_next_of_its_key(&self, id: MessageHandle) -> bool {
        self.messages.is_next_of_its_key(id, self.context.now)
    }
}

impl Destination {
    /// Draws for the waiting messages in the order of the queue, and sends those that pass.
    ///
    /// Before that, opens the circuit breakers of unresponsive routes, and cancels lost calls if no slot is
    /// free.
    pub fn serve(&mut self, dispatch: &mut Dispatch<'_>, mut queue: VecDeque<MessageHandle>) {
        self.open_unresponsive_breakers(dispatch.context);
        if dispatch.context.settings.cancelling && !queue.is_empty() && dispatch.slots.free() == 0 {
            self.cancel_lost_calls(dispatch);
        }
        let now = dispatch.context.now;
        while let Some(message) = queue.pop_front() {
            if !dispatch.is_next_of_its_key(message) {
                continue;
            }
            let callable = self.callable_routes(now);
            if callable.is_empty() || !self.may_take_slot(now, dispatch.slots.free()) {
                return;
            }
            let Some(route_index) = self.choose_route(dispatch, message, &callable) else { continue };
            let batch = self.take_batch(dispatch, route_index, message, &mut queue);
            self.send(dispatch, batch, route_index);
        }
    }

    /// Whether another call of this destination may take a slot.
    ///
    /// Extension (few slots are free): a destination leaves some slots to other destinations, and more of
    /// them while it has unanswered calls. An overdue call does not count as unanswered if
    /// an answer was received after it was sent.
    fn may_take_slot(&self, now: Millis, free_slots: usize) -> bool {
        let has_unanswered_calls =
            (0..self.routes.len()).any(|route_index| self.unanswered_calls(route_index, now) > 0);
        let max_calls = free_slots * if has_unanswered_calls { 1 } else { CALLS_PER_FREE_SLOT };
        let calls_in_flight = self.calls.len();
        max_calls > 0 && (calls_in_flight == 0 || calls_in_flight < max_calls * self.max_batch)
    }

    /// Takes messages from the queue for the call of the first message; a half-open probe carries one
    /// message.
    fn take_batch(
        &self,
        dispatch: &Dispatch<'_>,
        route_index: usize,
        first: MessageHandle,
        queue: &mut VecDeque<MessageHandle>,
    ) -> Vec<MessageHandle> {
        let max_batch = if self.is_down(route_index) { 1 } else { self.max_batch };
        let may_join =
            |&id: &MessageHandle| dispatch.is_next_of_its_key(id) && self.may_use(dispatch, id, route_index);
        let mut batch = vec![first];
        while batch.len() < max_batch && queue.front().is_some_and(may_join) {
            batch.extend(queue.pop_front());
        }
        batch
    }

    /// Extension (no slot is free): lost calls are cancelled, because waiting messages need their slots.
    fn cancel_lost_calls(&mut self, dispatch: &mut Dispatch<'_>) {
        let now = dispatch.context.now;
        let lost: Vec<CallId> =
            self.calls.iter().filter(|call| self.is_lost(call, now)).map(|call| call.id).collect();
        if lost.is_empty() {
            return;
        }
        for (id, message) in dispatch.messages.iter() {
            let effect = message.effect(&dispatch.context.settings);
            let Some(in_flight) = message.in_flight else { continue };
            if effect != Effect::NotIdempotent && lost.contains(&in_flight.call) {
                dispatch.actions.push(Action::Cancel { id, attempt: in_flight.attempt });
            }
        }
        self.calls.mark_cancelled(&lost);
    }

    /// Whether a call is long overdue although many calls sent later by the same route have succeeded.
    fn is_lost(&self, call: &Call, now: Millis) -> bool {
        let Some(route_index) = self.route_index(call.route) else { return false };
        !call.has_outcome
            && !call.is_cancelled()
            && call.later_successes >= MIN_LATER_SUCCESSES
            && now - call.sent_at > LOST_CALL_MULTIPLE * self.overdue_after(route_index)
    }
}
