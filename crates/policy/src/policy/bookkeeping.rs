//! Records messages that arrive, are dropped locally or completed, and calls that begin and end. No decision.

use super::Policy;
use super::state::{Destination, PossibleExecution};
use crate::calls::Call;
use crate::interface::{AttemptHistory, DestinationId, MessageHandle};

impl Policy {
    /// The message is completed; its record stays while an attempt is in flight.
    pub(super) fn complete(&mut self, id: MessageHandle) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.completed = true;
        if message.in_flight.is_some() {
            return;
        }
        let ordering_key = message.ordering_key;
        let destination = message.destination;
        self.messages.remove(&id);
        if let Some(destination) = self.destinations.get_mut(&destination) {
            destination.waiting.retain(|&waiting| waiting != id);
        }
        self.key_ordering.leave(ordering_key, id);
    }

    /// One more attempt of a call has its result, the last one frees the slot; whether it is the first one.
    pub(super) fn release_slot(&mut self, destination: &mut Destination, index: usize, call: u64) -> bool {
        let settled = destination.calls.settle(call);
        if settled.is_last {
            destination.routes[index].calls_in_flight -= 1;
            self.calls_in_flight -= 1;
        }
        settled.is_first
    }

    /// Counts a message that has come.
    pub(super) fn count_arrival(&mut self, id: DestinationId) {
        let Some(mut destination) = self.destinations.get_mut(&id).map(std::mem::take) else { return };
        destination.arrival_rate.record(self.now);
        self.queue_up(&mut destination);
        self.destinations.insert(id, destination);
    }

    /// Records that a message was dropped locally; whether it had been before.
    pub(super) fn mark_dropped(&mut self, id: MessageHandle) -> bool {
        let Some(message) = self.messages.get_mut(&id) else { return false };
        std::mem::replace(&mut message.counted_as_dropped, true)
    }

    /// Records a call that is sent now.
    pub(super) fn begin_call(
        &mut self,
        destination: &mut Destination,
        index: usize,
        messages: usize,
        used_up_pace: bool,
    ) -> Call {
        let route = &mut destination.routes[index];
        route.calls_in_flight += 1;
        route.last_used_at = self.now;
        let call = Call::new(self.next_call, route.id, self.now, messages, used_up_pace);
        self.next_call += 1;
        self.calls_in_flight += 1;
        destination.calls.begin(call);
        call
    }

    /// The possible execution in the history of a recovered message.
    pub(super) fn possible_execution(&self, history: &AttemptHistory) -> Option<PossibleExecution> {
        let prior = history.possibly_executed?;
        Some(PossibleExecution { sent_at: self.now - prior.ago, route: prior.route, zone: prior.zone })
    }
}
