//! Answers submissions without the policy: those of messages that are known already, and those to unknown destinations.

use rudderspindle_policy::interface::MessageHandle;

use super::Engine;
use super::completed_messages::{CompletedMessage, Completion};
use super::intake::Intake;
use super::message_content::MessageContent;
use crate::event::{MESSAGE_LOG, Submission, SubmissionResponse};

impl Engine {
    /// Answers a submission without the policy if possible; returns any other submission whose client is connected.
    pub(super) fn answer_known(&mut self, submission: Submission, intake: &mut Intake) -> Option<Submission> {
        if submission.response_sender.is_closed() {
            return None;
        }
        let Some(response) = self.immediate_response(&submission, intake) else { return Some(submission) };
        tracing::debug!(target: MESSAGE_LOG, message_id = &*submission.message_id, ?response,
            "answered without a new message");
        self.respond(submission, response, intake);
        None
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
