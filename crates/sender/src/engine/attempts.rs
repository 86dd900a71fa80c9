//! Attempts to deliver a message: their records in the journal, and their outcomes.

use std::time::Duration;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::ReceiverId;
use rudderspindle_journal::PossibleExecution;
use rudderspindle_policy::interface::{AttemptResult, Event, MessageHandle, Millis, Outcome, RouteId};
use tokio::time::Instant;

use super::Engine;
use super::time::from_millis;
use crate::event::{Call, CallOutcome, MESSAGE_LOG};
use crate::metrics::FinalOutcome;
use crate::outbound::ReceiverLocation;

/// Allowance for the transmission of the client's request: its deadline counts from when the client sent it.
const REQUEST_TRANSIT_TIME: Duration = Duration::from_millis(5);
/// Maximum time from the receipt of a request to its batch, in ticks. A response within this time and
/// [`REQUEST_TRANSIT_TIME`] before the deadline may be late for the client, and does not count.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// An attempt that the policy requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRequest {
    /// The message.
    pub id: MessageHandle,
    /// The receiver to call.
    pub route: RouteId,
    /// How long to wait for the response; 0 for as long as the message's deadline allows.
    pub timeout: Millis,
    /// How soon the request must be written; infinite if only the message's deadline limits that.
    pub start_within: Millis,
}

impl Engine {
    /// Reserves an attempt in the journal; returns the call that is started once the record is written. `None` if the
    /// shutdown no longer allows attempts: the message stays in the journal for the next process.
    pub(super) fn reserve_attempt(&mut self, now: Instant, request: AttemptRequest) -> Option<Call> {
        if !self.shutdown.allows_attempts(now) {
            return None;
        }
        let AttemptRequest { id, route, timeout, start_within } = request;
        let margin = from_millis(DEADLINE_MARGIN_TICKS * self.settings.tick) + REQUEST_TRANSIT_TIME;
        let message = self.tracked.get_mut(id)?;
        let last = message.deadline.checked_sub(margin).unwrap_or(now);
        let ReceiverLocation { receiver, zone } = self.io.outbound.receiver_location(route)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let destination = self.endpoints.destination(&receiver);
        message.receiver = destination.map(|destination| ReceiverId::of(destination.0, &receiver));
        tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, attempt, receiver = &*receiver, zone = &*zone, "attempt");
        let execution = PossibleExecution { sent_at: UnixMillis::now(), receiver, zone };
        self.store.start_attempt(&message.message_id, execution);
        let response_deadline = if timeout == 0.0 { last } else { (now + from_millis(timeout)).min(last) };
        let start_within = Duration::try_from_secs_f64(start_within.max(0.0) / 1_000.0);
        Some(Call {
            id,
            attempt,
            route,
            message_id: message.message_id.clone(),
            idempotency_key: message.idempotency_key.clone(),
            body: message.body.clone(),
            response_deadline,
            write_deadline: start_within.map_or(message.deadline, |start_within| now + start_within),
        })
    }

    /// Records the outcome of an attempt with this batch, and completes a delivered message.
    pub(super) fn record_result(&mut self, id: MessageHandle, attempt: u32, result: CallOutcome) -> Event {
        self.calls.remove(id);
        let CallOutcome { outcome, retry_after, completed } = result;
        let receiver = self.tracked.get_mut(id).and_then(|message| message.receiver.take());
        self.activity.record_outcome(receiver, outcome);
        if let Some(message) = self.tracked.get(id) {
            tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, attempt, ?outcome, retry_after, "outcome");
            if completed {
                failpoint!("delivered-before-record");
                self.store.complete(&message.message_id, None);
                if outcome == Outcome::Ok {
                    self.io.metrics.record_outcome(message.class, FinalOutcome::Delivered);
                }
                self.tracked.remove(id);
            } else {
                self.store.finish_attempt(&message.message_id, attempt, outcome.possibly_executed());
            }
        }
        let completed = !self.tracked.contains(id);
        Event::Outcome(AttemptResult { id, attempt, outcome, retry_after, completed })
    }
}
