//! Admission of submitted messages, before the policy decides about them.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, Store};
use rudderspindle_policy::interface::{Event, Message, MessageHandle};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::time::to_millis;
use super::tracked_messages::{TrackedMessage, WithdrawnMessage};
use crate::event::{Input, MESSAGE_LOG, Submission, SubmissionId, SubmissionResponse};
use crate::metrics::FinalOutcome;

/// The submissions of one batch.
#[derive(Debug, Default)]
pub(super) struct Intake {
    /// Space that the records of the new messages need in the journal, in bytes.
    journal_bytes: u64,
    /// Submissions of messages that the policy decides about.
    pub new: Vec<NewSubmission>,
    /// Submissions with a response that does not depend on the policy.
    pub responses: Vec<PendingResponse>,
}

/// A submitted message that this batch decides about.
#[derive(Debug)]
pub(super) struct NewSubmission {
    /// The message.
    pub id: MessageHandle,
    /// Index of its class in the settings.
    pub class: usize,
    /// Its record, written if the message is accepted.
    pub record: journal::Message,
    /// The channel for the response.
    pub channel: oneshot::Sender<SubmissionResponse>,
}

/// A response that is sent once the batch is in the journal.
#[derive(Debug)]
pub(super) struct PendingResponse {
    /// The channel for the response.
    pub channel: oneshot::Sender<SubmissionResponse>,
    /// The response.
    pub response: SubmissionResponse,
}

impl Engine {
    /// Admits a submission; returns the message for the policy. A submission whose response does not depend on the
    /// policy is added to `intake`; one that does not fit into this batch is left for the next.
    pub(super) fn admit(
        &mut self,
        submission: Submission,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        if submission.response.is_closed() {
            return None;
        }
        if let Some(response) = self.immediate_response(&submission, intake) {
            self.respond(submission, response, intake);
            return None;
        }
        let record = self.record_of(&submission, now);
        let journal_bytes = intake.journal_bytes + record.reserved_bytes();
        if self.tracked.len() >= self.settings.max_pending || !self.store.has_space_for(journal_bytes) {
            self.respond(submission, SubmissionResponse::REFUSED, intake);
            return None;
        }
        if !Store::fits_batch(journal_bytes) {
            self.next_batch_inputs.push(Input::Submitted(submission));
            return None;
        }
        intake.journal_bytes = journal_bytes;
        Some(self.track_new(submission, record, now, intake))
    }

    /// Responds to a submission with this batch.
    fn respond(&self, submission: Submission, response: SubmissionResponse, intake: &mut Intake) {
        if matches!(response, SubmissionResponse::Refused { .. }) {
            self.io.metrics.record_outcome(submission.class, FinalOutcome::Rejected);
        }
        intake.responses.push(PendingResponse { channel: submission.response, response });
    }

    /// The response to a submission for an unknown destination, or of a message that is already known.
    fn immediate_response(&mut self, submission: &Submission, intake: &Intake) -> Option<SubmissionResponse> {
        if !self.endpoints.serves(submission.destination) {
            // Before the first list every destination is unknown.
            let no_list = self.endpoints.is_empty();
            return Some(if no_list {
                SubmissionResponse::REFUSED
            } else {
                SubmissionResponse::UnknownDestination
            });
        }
        if let Some(id) = self.tracked.find(&submission.message_id) {
            // Each client that submits the message is counted: else any client with the same id could withdraw the
            // message by disconnecting.
            let undecided = intake.new.iter().any(|new| new.id == id);
            let added = !undecided && self.tracked.add_submission(id, submission.id);
            return Some(if added { SubmissionResponse::Accepted } else { SubmissionResponse::REFUSED });
        }
        // While a notification is pending: its acknowledgement must not complete a new message with the same id.
        self.store.contains(&submission.message_id).then_some(SubmissionResponse::REFUSED)
    }

    fn record_of(&self, submission: &Submission, now: Instant) -> journal::Message {
        let time_left = submission.deadline.saturating_duration_since(now);
        journal::Message {
            message_id: submission.message_id.clone(),
            class: self.names.classes.get(submission.class).map_or("", String::as_str).into(),
            tenant: self.names.tenants.get(submission.tenant).map_or("", String::as_str).into(),
            destination: submission.destination.0,
            idempotency_key: submission.idempotency_key.clone(),
            deadline: UnixMillis::now() + time_left.as_millis() as u64,
            body: submission.body.clone(),
            attempts: 0,
            possibly_executed: None,
            in_flight: None,
        }
    }

    fn track_new(
        &mut self,
        submission: Submission,
        record: journal::Message,
        now: Instant,
        intake: &mut Intake,
    ) -> Message {
        let Submission {
            id: submission_id,
            message_id,
            class,
            tenant,
            destination,
            idempotency_key,
            body,
            deadline,
            response,
        } = submission;
        let id = self.track(TrackedMessage {
            message_id,
            class,
            recovered: false,
            submissions: vec![submission_id],
            idempotency_key,
            body,
            deadline,
            attempts: 0,
            receiver: None,
        });
        self.activity.record_accepted(tenant);
        intake.new.push(NewSubmission { id, class, record, channel: response });
        Message {
            id,
            class,
            tenant,
            ordering_key: 0,
            time_left: to_millis(deadline.saturating_duration_since(now)),
            work_estimate: None,
            destination,
        }
    }

    /// Tracks a message under a handle that no call in flight uses.
    pub(super) fn track(&mut self, message: TrackedMessage) -> MessageHandle {
        self.tracked.insert(message, |id| self.calls.contains(id))
    }

    /// Removes a submission whose client has disconnected, and completes its message if no other client has submitted it.
    pub(super) fn withdraw(&mut self, submission: SubmissionId) -> Option<Event> {
        let WithdrawnMessage { handle, message_id } = self.tracked.withdraw(submission)?;
        tracing::debug!(target: MESSAGE_LOG, message_id = &*message_id, "withdrawn");
        self.store.complete(&message_id, None);
        Some(Event::ClientDisconnected(handle))
    }
}
