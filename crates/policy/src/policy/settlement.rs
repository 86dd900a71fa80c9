//! Settles the result of an attempt at its message, its call and its route. No decision.

use super::Policy;
use super::outcomes::counts_at_throttle;
use super::state::{Destination, PossibleExecution};
use crate::calls::Call;
use crate::interface::{Action, AttemptResult, DestinationId, Millis, Outcome};

/// The result of a call: that of the first of its attempts that has one.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallResult {
    pub(super) sent_at: Millis,
    pub(super) outcome: Outcome,
    /// Whether it shows an outage by itself.
    pub(super) shows_outage: bool,
}

impl Policy {
    /// Applies the result of an attempt; its message is completed, gets its final outcome or waits for a
    /// retry.
    pub(super) fn apply_result(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        let in_flight = message.in_flight.take_if(|in_flight| in_flight.attempt == result.attempt);
        let Some(in_flight) = in_flight else { return };
        let destination = message.destination;
        let execution = self.settle_attempt(destination, in_flight.call, result);
        self.report_outages(destination, actions);
        self.record_at_message(result, execution);
        self.retry_or_complete(result, actions);
    }

    /// Settles an attempt at its call; where and when it may have been executed, if the call is known.
    fn settle_attempt(
        &mut self,
        id: DestinationId,
        call: u64,
        result: &AttemptResult,
    ) -> Option<PossibleExecution> {
        let mut destination = std::mem::take(self.destinations.get_mut(&id)?);
        let execution = self.settle_at_destination(&mut destination, call, result);
        self.destinations.insert(id, destination);
        execution
    }

    fn settle_at_destination(
        &mut self,
        destination: &mut Destination,
        call: u64,
        result: &AttemptResult,
    ) -> Option<PossibleExecution> {
        let call = destination.calls.get(call)?;
        let index = destination.route_index(call.route)?;
        let zone = destination.routes[index].zone;
        if result.outcome == Outcome::Rejected && result.retry_after > 0.0 {
            self.back_off(destination, index, result.retry_after);
        }
        if result.outcome == Outcome::Ok {
            destination.calls.count_later_answer(call.route, call.sent_at);
        }
        let is_first_result = self.release_slot(destination, index, call.id);
        if is_first_result && counts_at_throttle(result.outcome) {
            self.apply_call_result(destination, index, &call, result);
        }
        Some(PossibleExecution { sent_at: call.sent_at, route: call.route, zone })
    }

    /// Applies the first result of a call to its throttle and its circuit breakers.
    fn apply_call_result(
        &mut self,
        destination: &mut Destination,
        index: usize,
        call: &Call,
        result: &AttemptResult,
    ) {
        let outcome = result.outcome;
        if outcome == Outcome::Ok {
            self.grow_pace(destination, index, call);
        }
        let shows_outage = self.record_at_throttle(destination, index, result);
        let result = CallResult { sent_at: call.sent_at, outcome, shows_outage };
        self.record_at_breakers(destination, index, &result);
        self.react_to_result(destination, index, &result);
        if outcome == Outcome::Ok {
            destination.throttle_mut(index).latency.record(self.now - call.sent_at);
        }
    }
}
