//! Intake of submissions: passes the messages of new submissions to the policy. The other submissions are answered without
//! the policy, see [`super::known_messages`].

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, Store};
use rudderspindle_policy::interface::{Event, Message, MessageHandle};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::completed_messages::{CompletedMessage, Completion};
use super::time::to_millis;
use super::tracked_messages::{TrackedMessage, WithdrawnMessage};
use crate::event::{Input, MESSAGE_LOG, Submission, SubmissionId, SubmissionResponse};
use crate::metrics::FinalOutcome;

/// The submissions of one batch.
#[derive(Debug, Default)]
pub(super) struct Intake {
    /// Journal space that the new messages of the batch need, in bytes.
    journal_bytes: u64,
    /// Submissions of new messages, which the policy accepts or refuses.
    pub new_submissions: Vec<NewSubmission>,
    /// Responses that do not depend on the policy.
    pub immediate_responses: Vec<PendingResponse>,
}

/// The submission of a new message, which the policy accepts or refuses in this batch.
#[derive(Debug)]
pub(super) struct NewSubmission {
    /// The message's handle.
    pub id: MessageHandle,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// The message as written to the journal if it is accepted.
    pub journal_message: journal::Message,
    /// Sends the response to the client's connection.
    pub response_sender: oneshot::Sender<SubmissionResponse>,
}

/// A response that is sent once the batch is in the journal.
#[derive(Debug)]
pub(super) struct PendingResponse {
    /// Sends the response to the client's connection.
    pub response_sender: oneshot::Sender<SubmissionResponse>,
    /// The response to send.
    pub response: SubmissionResponse,
}

impl Engine {
    /// Adds a submission to `intake`, and returns its message if the policy must decide whether to accept it. A
    /// submission whose message does not fit into this batch of the journal is put back for the next batch.
    pub(super) fn admit(
        &mut self,
        submission: Submission,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        let submission = self.answer_known(submission, intake)?;
        if self.id_claims.is_required() {
            self.claim_id(submission, now, intake);
            return None;
        }
        self.accept_new(submission, now, intake)
    }

    /// Adds the submission of a new message to `intake`, and returns its message, unless there is no capacity for it.
    pub(super) fn accept_new(
        &mut self,
        submission: Submission,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        let journal_message = self.journal_message(&submission, now);
        let journal_bytes = intake.journal_bytes + journal_message.reserved_bytes();
        if !self.has_message_capacity() || !self.has_space_for(journal_bytes) {
            self.respond(submission, SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER, intake);
            return None;
        }
        if !Store::fits_batch(journal_bytes) {
            self.next_batch_inputs.push(Input::Submitted(submission));
            return None;
        }
        intake.journal_bytes = journal_bytes;
        Some(self.track_new_message(submission, journal_message, now, intake))
    }

    /// Whether `bytes` of messages may be accepted in addition to the pending ones: on the disk and in memory.
    fn has_space_for(&self, bytes: u64) -> bool {
        let pending_bytes = self.store.reserved_bytes() + bytes;
        self.store.has_space_for(bytes) && self.max_pending_bytes.is_none_or(|max| pending_bytes <= max)
    }

    /// Whether one more message may be tracked or claimed.
    pub(super) fn has_message_capacity(&self) -> bool {
        self.tracked_messages.len() + self.id_claims.len() < self.settings.max_pending
    }

    /// Adds the response to a submission to `intake`, and counts a refusal.
    pub(super) fn respond(&self, submission: Submission, response: SubmissionResponse, intake: &mut Intake) {
        if matches!(response, SubmissionResponse::Refused { .. }) {
            self.io.metrics.count_outcome(submission.class, FinalOutcome::Rejected);
        }
        intake
            .immediate_responses
            .push(PendingResponse { response_sender: submission.response_sender, response });
    }

    /// The message of a submission, as written to the journal.
    fn journal_message(&self, submission: &Submission, now: Instant) -> journal::Message {
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

    /// Tracks the new message of a submission, adds the submission to `intake`, and returns the message for the policy.
    fn track_new_message(
        &mut self,
        submission: Submission,
        journal_message: journal::Message,
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
            response_sender,
        } = submission;
        let id = self.track(TrackedMessage {
            message_id,
            class,
            tenant,
            destination,
            recovered: false,
            submissions: vec![submission_id],
            idempotency_key,
            body,
            deadline,
            attempts: 0,
            called_receiver: None,
        });
        self.activity.add_accepted(tenant);
        intake.new_submissions.push(NewSubmission { id, class, journal_message, response_sender });
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
        self.tracked_messages.insert(message, |id| self.calls.contains(id))
    }

    /// Removes a submission whose client has disconnected. If no other client has submitted the message, completes the
    /// message and returns the event for the policy.
    pub(super) fn withdraw(&mut self, submission: SubmissionId, now: Instant) -> Option<Event> {
        let WithdrawnMessage { handle, message } = self.tracked_messages.withdraw(submission)?;
        tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, "withdrawn");
        self.store.complete(&message.message_id, None);
        if message.attempts > 0 {
            let completed = CompletedMessage::new(Completion::PossiblyExecuted, &message);
            self.completed_messages.insert(now, message.message_id, completed);
        }
        Some(Event::ClientDisconnected(handle))
    }
}
