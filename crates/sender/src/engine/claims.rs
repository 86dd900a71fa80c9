//! Claims the ids of new messages from the peer process, and answers the claims of the peer process. See
//! [`super::id_claims`].

use rudderspindle_policy::interface::Message;
use tokio::time::Instant;

use super::Engine;
use super::completed_messages::Completion;
use super::intake::Intake;
use super::message_content::MessageContent;
use crate::event::{ClaimAnswer, ClaimNumber, IdClaim, Input, Submission, SubmissionResponse};
use crate::handover::HandoverMessage;

impl Engine {
    /// Tells the owner that this process, its successor, accepts messages from now on.
    pub(super) fn announce_acceptance(&self) {
        if self.id_claims.can_ask() {
            self.io.peer_process.send(HandoverMessage::AcceptsMessages);
        }
    }

    /// Claims the id of a submission's message, which waits for the answer.
    pub(super) fn claim_id(&mut self, submission: Submission, now: Instant, intake: &mut Intake) {
        if !self.has_message_capacity() {
            self.respond(submission, SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER, intake);
            return;
        }
        let message_id = submission.message_id.clone();
        let content = MessageContent::of(&submission).hash();
        let number = self.id_claims.insert(submission, now);
        if self.id_claims.can_ask() {
            self.io.peer_process.send(IdClaim { number, message_id, content }.into());
        }
    }

    /// Answers a claim of the peer process.
    pub(super) fn answer_claim(&self, claim: &IdClaim) {
        let answer = self.claim_answer(claim);
        tracing::debug!(target: crate::event::MESSAGE_LOG, message_id = &*claim.message_id, ?answer, "claim answered");
        self.io.peer_process.send(HandoverMessage::AnswerClaim { number: claim.number, answer });
    }

    fn claim_answer(&self, claim: &IdClaim) -> ClaimAnswer {
        let message_id = &claim.message_id;
        if self.tracked_messages.find(message_id).is_some() || self.store.contains(message_id) {
            return ClaimAnswer::Refused;
        }
        // Both processes claim the id at the same time: the owner gets it.
        if self.id_claims.contains(message_id) && self.store.is_owner() {
            return ClaimAnswer::Refused;
        }
        let Some(completed) = self.completed_messages.find(message_id) else { return ClaimAnswer::Granted };
        match completed.completion {
            _ if completed.is_other_message(claim.content) => ClaimAnswer::Refused,
            Completion::Delivered => ClaimAnswer::Delivered,
            Completion::PossiblyExecuted => ClaimAnswer::PossiblyExecuted,
        }
    }

    /// Handles the answer to a claim. Returns the message if the policy must decide whether to accept it.
    pub(super) fn claim_answered(
        &mut self,
        number: ClaimNumber,
        answer: ClaimAnswer,
        now: Instant,
        intake: &mut Intake,
    ) -> Option<Message> {
        let submission = self.id_claims.remove(number)?;
        let response = match answer {
            ClaimAnswer::Granted => {
                let submission = self.answer_known(submission, intake)?;
                return self.accept_new(submission, now, intake);
            }
            ClaimAnswer::Refused => SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER,
            ClaimAnswer::Delivered => SubmissionResponse::Accepted,
            ClaimAnswer::PossiblyExecuted => SubmissionResponse::Failed,
        };
        self.respond(submission, response, intake);
        None
    }

    /// Refuses the submissions whose claims were not answered in time.
    pub(super) fn refuse_overdue_claims(&mut self, now: Instant, intake: &mut Intake) {
        for submission in self.id_claims.take_overdue(now) {
            self.respond(submission, SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER, intake);
        }
    }

    /// Ends the claims, because no other process accepts messages any more. The submissions that waited are handled in the
    /// next batch.
    pub(super) fn end_claims(&mut self) {
        let submissions = self.id_claims.end();
        self.next_batch_inputs.extend(submissions.into_iter().map(Input::Submitted));
    }
}
