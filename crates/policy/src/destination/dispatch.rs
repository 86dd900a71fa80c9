//! Sends the waiting messages of a destination while its throttles and the free slots allow it.

use std::collections::VecDeque;

use super::Destination;
use crate::calls::{Call, CallId};
use crate::context::Context;
use crate::interface::{Action, Effect, MessageHandle, Millis};
use crate::messages::PendingMessages;
use crate::slots::CallSlots;

/// Number of later successful calls by the same route that show that a call is lost.
const LATER_SUCCESSES: u32 = 10;
/// A call is lost once it is in flight for this multiple of the time after which it is overdue.
const LOST_STRETCH: f64 = 1.3;
/// A destination may use this multiple of the free slots.
const SLOTS_PER_FREE_SLOT: usize = 3;

/// What destinations share while they send.
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
            let open = self.open_routes(now);
            if open.is_empty() || !self.may_take_slot(now, dispatch.slots.free()) {
                return;
            }
            let Some(index) = self.choose_route(dispatch, message, &open) else { continue };
            let batch = self.take_batch(dispatch, index, message, &mut queue);
            self.send(dispatch, batch, index);
        }
    }

    /// Departure (few slots are free): a destination leaves some to others, and more of them while a call to
    /// it is overdue without an answer since. A lost call among answered ones is no reason.
    fn may_take_slot(&self, now: Millis, free_slots: usize) -> bool {
        let is_stuck = (0..self.routes.len()).any(|index| self.unanswered_calls(index, now) > 0);
        let slots = free_slots * if is_stuck { 1 } else { SLOTS_PER_FREE_SLOT };
        let in_flight = self.calls.len();
        slots > 0 && (in_flight == 0 || in_flight < slots * self.max_batch)
    }

    /// The messages that share a call with the first one; a half-open probe carries one.
    fn take_batch(
        &self,
        dispatch: &Dispatch<'_>,
        index: usize,
        first: MessageHandle,
        queue: &mut VecDeque<MessageHandle>,
    ) -> Vec<MessageHandle> {
        let max_batch = if self.is_down(index) { 1 } else { self.max_batch };
        let joins =
            |&id: &MessageHandle| dispatch.is_next_of_its_key(id) && self.may_use(dispatch, id, index);
        let mut batch = vec![first];
        while batch.len() < max_batch && queue.front().is_some_and(joins) {
            batch.extend(queue.pop_front());
        }
        batch
    }

    /// Departure (no slot is free): lost calls are cancelled, as other messages need their slots.
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

    /// Whether a call is long overdue, though its route has answered calls that were sent later.
    fn is_lost(&self, call: &Call, now: Millis) -> bool {
        let Some(index) = self.route_index(call.route) else { return false };
        !call.has_outcome
            && !call.is_cancelled()
            && call.later_successes >= LATER_SUCCESSES
            && now - call.sent_at > LOST_STRETCH * self.overdue_after(index)
    }
}
