//! Records the start and the outcome of each attempt to deliver a message in the journal.

use std::time::Duration;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::ReceiverId;
use rudderspindle_journal::PossibleExecution;
use rudderspindle_policy::interface::{
    AttemptResult, Effect, Event, MessageHandle, Millis, Outcome, RouteId,
};
use tokio::time::Instant;

use super::Engine;
use super::completed_messages::{CompletedMessage, Completion};
use super::time::from_millis;
use crate::event::{Call, CallOutcome, MESSAGE_LOG};
use crate::metrics::FinalOutcome;
use crate::outbound::ReceiverLocation;

/// Allowance for the transmission of the client's request. The client's deadline counts from when it sent the request,
/// the engine's deadline from when the request was received.
const REQUEST_TRANSIT_TIME: Duration = Duration::from_millis(5);
/// Maximum time from the receipt of the client's request to its batch, in ticks of the settings. The client's deadline
/// may be earlier than the engine's by this time plus [`REQUEST_TRANSIT_TIME`]. A receiver's response that arrives
/// within this margin before the engine's deadline may be late for the client, and does not count.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// An attempt that the policy requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRequest {
    /// The message's handle.
    pub id: MessageHandle,
    /// The receiver to call, by its id in the policy.
    pub route: RouteId,
    /// Maximum time until the response arrives, in milliseconds; 0 if only the message's deadline limits it.
    pub timeout: Millis,
    /// Maximum time until the request is written completely, in milliseconds; infinite if only the message's deadline
    /// limits it.
    pub start_within: Millis,
}

impl Engine {
    /// Records the start of an attempt, and returns the call to start once the record is written. `None` if the message
    /// or the receiver is unknown.
    pub(super) fn record_attempt(&mut self, now: Instant, request: AttemptRequest) -> Option<Call> {
        let AttemptRequest { id, route, timeout, start_within } = request;
        let deadline_margin = from_millis(DEADLINE_MARGIN_TICKS * self.settings.tick) + REQUEST_TRANSIT_TIME;
        let message = self.tracked_messages.get_mut(id)?;
        let latest_response = message.deadline.checked_sub(deadline_margin).unwrap_or(now);
        let ReceiverLocation { receiver, zone } = self.io.outbound.receiver_location(route)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let destination = self.endpoints.destination(&receiver);
        message.called_receiver = destination.map(|destination| ReceiverId::of(destination.0, &receiver));
        tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, attempt, receiver = &*receiver, zone = &*zone, "attempt");
        let execution = PossibleExecution { sent_at: UnixMillis::now(), receiver, zone };
        self.store.start_attempt(&message.message_id, execution);
        let response_deadline =
            if timeout == 0.0 { latest_response } else { (now + from_millis(timeout)).min(latest_response) };
        // An infinite `start_within` cannot be converted to a `Duration`; the message's deadline applies then.
        let time_to_write = Duration::try_from_secs_f64(start_within.max(0.0) / 1_000.0);
        Some(Call {
            id,
            attempt,
            route,
            message_id: message.message_id.clone(),
            idempotency_key: message.idempotency_key.clone(),
            body: message.body.clone(),
            idempotent: self.settings.classes[message.class].effect == Effect::Idempotent,
            response_deadline,
            write_deadline: time_to_write.map_or(message.deadline, |time_to_write| now + time_to_write),
        })
    }

    /// Takes back an attempt whose record could not be written. Returns the event for the policy.
    pub(super) fn discard_attempt(&mut self, call: &Call) -> Event {
        let Call { id, attempt, .. } = *call;
        if let Some(message) = self.tracked_messages.get_mut(id) {
            message.attempts = attempt;
            message.called_receiver = None;
            self.store.discard_attempt(&message.message_id, attempt);
        }
        let completed = !self.tracked_messages.contains(id);
        let outcome = Outcome::NotStarted;
        Event::Outcome(AttemptResult { id, attempt, outcome, retry_after: 0.0, completed })
    }

    /// Records the outcome of an attempt, and completes the message if [`CallOutcome::completed`] is set. Returns the
    /// event for the policy.
    pub(super) fn record_attempt_outcome(
        &mut self,
        now: Instant,
        id: MessageHandle,
        attempt: u32,
        call_outcome: CallOutcome,
    ) -> Event {
        self.calls.remove(id);
        let CallOutcome { outcome, retry_after, completed } = call_outcome;
        let called_receiver =
            self.tracked_messages.get_mut(id).and_then(|message| message.called_receiver.take());
        self.activity.add_outcome(called_receiver, outcome);
        if let Some(message) = self.tracked_messages.get(id) {
            tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, attempt, ?outcome, retry_after, "outcome");
            if completed {
                failpoint!("delivered-before-record");
                self.store.complete(&message.message_id, None);
                let delivered = outcome == Outcome::Ok;
                if delivered {
                    self.io.metrics.count_outcome(message.class, FinalOutcome::Delivered);
                }
                let completion = if delivered { Completion::Delivered } else { Completion::PossiblyExecuted };
                let completed = CompletedMessage::new(completion, message);
                self.completed_messages.insert(now, message.message_id.clone(), completed);
                self.tracked_messages.remove(id);
            } else {
                self.store.finish_attempt(&message.message_id, attempt, outcome.possibly_executed());
            }
        }
        // The message may also have been completed before its call ended, for instance because its clients withdrew it.
        let completed = !self.tracked_messages.contains(id);
        Event::Outcome(AttemptResult { id, attempt, outcome, retry_after, completed })
    }
}
