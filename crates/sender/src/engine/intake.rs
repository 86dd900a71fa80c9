//! Admission of submitted messages, before the policy decides about them.

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, Store};
use rudderspindle_policy::interface::{Event, Message, MessageHandle};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::time::to_millis;
use super::tracked_messages::TrackedMessage;
use crate::event::{Answer, Input, MESSAGE_LOG, Submission, SubmissionId};
use crate::metrics::FinalOutcome;

/// The submissions of one batch.
#[derive(Debug, Default)]
pub(super) struct Intake {
    /// Space that the records of the new messages need in the journal, in bytes.
    journal_bytes: u64,
    /// Submissions of messages that the policy decides about.
    pub new: Vec<NewSubmission>,
    /// Submissions that are answered without the policy.
    pub answers: Vec<PendingAnswer>,
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
    /// Where the answer goes.
    pub channel: oneshot::Sender<Answer>,
}

/// An answer that is sent once the batch is in the journal.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    /// Where it goes.
    pub channel: oneshot::Sender<Answer>,
    /// The answer.
    pub answer: Answer,
}

impl Engine {
    /// Admits a submission; returns the message for the policy. A submission that is refused or answered at once goes
    /// into `intake`, one that does not fit into this batch is left for the next.
    pub(super) fn admit(
        &mut self,
        submission: Submission,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        if submission.answer.is_closed() {
            return None;
        }
        if let Some(answer) = self.answer_at_once(&submission, intake) {
            self.answer(submission, answer, intake);
            return None;
        }
        let record = self.record_of(&submission, now);
        let journal_bytes = intake.journal_bytes + record.reserved_bytes();
        if self.tracked.len() >= self.settings.max_pending || !self.store.has_space_for(journal_bytes) {
            self.answer(submission, Answer::REFUSED, intake);
            return None;
        }
        if !Store::fits_batch(journal_bytes) {
            self.deferred.push(Input::Submitted(submission));
            return None;
        }
        intake.journal_bytes = journal_bytes;
        Some(self.track_new(submission, record, now, intake))
    }

    /// Answers a submission with this batch.
    fn answer(&self, submission: Submission, answer: Answer, intake: &mut Intake) {
        if matches!(answer, Answer::Refused { .. }) {
            self.metrics.record_outcome(submission.class, FinalOutcome::Rejected);
        }
        intake.answers.push(PendingAnswer { channel: submission.answer, answer });
    }

    /// The answer to a submission that does not depend on capacity: of an unknown destination, or of a message that
    /// is known already.
    fn answer_at_once(&mut self, submission: &Submission, intake: &Intake) -> Option<Answer> {
        if !self.endpoints.serves(submission.destination) {
            // Before the first list every destination is unknown.
            let no_list = self.endpoints.is_empty();
            return Some(if no_list { Answer::REFUSED } else { Answer::UnknownDestination });
        }
        if let Some(id) = self.tracked.find(&submission.message_id) {
            // Accepted once, for each client that has this answer: to forget the earlier one would allow anybody who
            // knows the id to withdraw the message by disconnecting.
            let undecided = intake.new.iter().any(|new| new.id == id);
            let added = !undecided && self.tracked.add_submission(id, submission.id);
            return Some(if added { Answer::Accepted } else { Answer::REFUSED });
        }
        // While its notification is pending: the acknowledgement must not complete a new message with the same id.
        self.store.contains(&submission.message_id).then_some(Answer::REFUSED)
    }

    fn record_of(&self, submission: &Submission, now: Instant) -> journal::Message {
        let time_left = submission.deadline.saturating_duration_since(now);
        journal::Message {
            message_id: submission.message_id.clone(),
            class: self.names.classes.get(submission.class).map_or("", String::as_str).into(),
            tenant: self.names.tenants.get(submission.tenant).map_or("", String::as_str).into(),
            destination: submission.destination.0,
            key: submission.key.clone(),
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
            key,
            body,
            deadline,
            answer,
        } = submission;
        let id = self.track(TrackedMessage {
            message_id,
            class,
            recovered: false,
            submissions: vec![submission_id],
            key,
            body,
            deadline,
            attempts: 0,
            receiver: None,
        });
        self.activity.record_accepted(tenant);
        intake.new.push(NewSubmission { id, class, record, channel: answer });
        Message {
            id,
            class,
            tenant,
            ordering_key: 0,
            time_left: to_millis(deadline.saturating_duration_since(now)),
            work_guess: None,
            destination,
        }
    }

    /// Tracks a message under a handle that no call in flight has.
    pub(super) fn track(&mut self, message: TrackedMessage) -> MessageHandle {
        self.tracked.insert(message, |id| self.calls.contains_key(&id))
    }

    /// Removes a submission whose client has disconnected; completes its message if no other client has submitted it.
    pub(super) fn withdraw(&mut self, submission: SubmissionId) -> Option<Event> {
        let (id, message) = self.tracked.withdraw(submission)?;
        tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, "withdrawn");
        self.store.complete(&message.message_id, None);
        Some(Event::Dropped(id))
    }
}
