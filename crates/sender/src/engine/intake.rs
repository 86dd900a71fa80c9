//! Intake of submissions: passes the messages of new submissions to the policy, and answers the other submissions
//! without the policy.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, Store};
use rudderspindle_policy::interface::{Event, Message, MessageHandle};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::completed_messages::{CompletedMessage, Completion};
use super::message_content::MessageContent;
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

    /// Like [`Engine::admit`] for a submission whose id the peer process has granted.
    pub(super) fn admit_claimed(
        &mut self,
        submission: Submission,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        let submission = self.answer_known(submission, intake)?;
        self.accept_new(submission, now, intake)
    }

    /// Answers a submission without the policy if possible; returns any other submission whose client is connected.
    fn answer_known(&mut self, submission: Submission, intake: &mut Intake) -> Option<Submission> {
        if submission.response_sender.is_closed() {
            return None;
        }
        let Some(response) = self.immediate_response(&submission, intake) else { return Some(submission) };
        tracing::debug!(target: MESSAGE_LOG, message_id = &*submission.message_id, ?response,
            "answered without a new message");
        self.respond(submission, response, intake);
        None
    }

    /// Adds the submission of a new message to `intake`, and returns its message, unless there is no capacity for it.
    fn accept_new(&mut self, submission: Submission, now: Instant, intake: &mut Intake) -> Option<Message> {
        let journal_message = self.journal_message(&submission, now);
        let journal_bytes = intake.journal_bytes + journal_message.reserved_bytes();
        if !self.has_message_capacity() || !self.store.has_space_for(journal_bytes) {
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

    /// The response to a submission whose destination is unknown, or whose message is already known or was completed a
    /// short time ago; `None` for any other submission.
    fn immediate_response(&mut self, submission: &Submission, intake: &Intake) -> Option<SubmissionResponse> {
        if !self.endpoints.has_destination(submission.destination) {
            // Until the first endpoint list arrives, every destination is unknown. The client may submit the message
            // again later.
            let no_list = self.endpoints.is_empty();
            return Some(if no_list {
                SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER
            } else {
                SubmissionResponse::UnknownDestination
            });
        }
        if let Some(id) = self.tracked_messages.find(&submission.message_id) {
            return Some(self.response_for_tracked(id, submission, intake));
        }
        if let Some(completed) = self.completed_messages.find(&submission.message_id) {
            return Some(response_for_completed(completed, submission));
        }
        // The journal still contains a message whose notification is pending. The acknowledgement of that notification
        // must not complete a new message with the same id.
        let is_known =
            self.store.contains(&submission.message_id) || self.id_claims.contains(&submission.message_id);
        is_known.then_some(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER)
    }

    /// The response to a submission with the id of a tracked message. A different message with that id is refused,
    /// because it would never be sent.
    fn response_for_tracked(
        &mut self,
        id: MessageHandle,
        submission: &Submission,
        intake: &Intake,
    ) -> SubmissionResponse {
        let tracked = self.tracked_messages.get(id);
        let is_same_message =
            tracked.is_some_and(|message| message.content() == MessageContent::of(submission));
        let undecided = intake.new_submissions.iter().any(|new| new.id == id);
        // Each client that submits the message is counted, because otherwise any client that uses the same message id
        // could withdraw the message by disconnecting.
        let added = is_same_message && !undecided && self.tracked_messages.add_submission(id, submission.id);
        if added { SubmissionResponse::Accepted } else { SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER }
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

/// The response to a submission with the id of a complete message that a receiver has executed, or may have. The receiver
/// must not be called with this id again, so a different message is refused.
fn response_for_completed(completed: CompletedMessage, submission: &Submission) -> SubmissionResponse {
    if completed.is_other_message(MessageContent::of(submission).hash()) {
        return SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER;
    }
    match completed.completion {
        Completion::Delivered => SubmissionResponse::Accepted,
        Completion::PossiblyExecuted => SubmissionResponse::Failed,
    }
}
