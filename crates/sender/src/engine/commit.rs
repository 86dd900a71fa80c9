//! Writes the policy's decisions for a batch to the journal, in one write, and then executes them.
//!
//! Invariant: no response and no call is sent before the write. The steps before the write change only the engine and
//! the journal's buffer, and collect [`Effects`], which are executed after the write.
//!
//! If the write fails, submissions are refused, and attempts are taken back, so that they do not count. Completions stay
//! in the journal's buffer until a later write, and the notifications about them are sent only after that write: if the
//! process ends before, the next process sends these messages again.
//! Cancellations and health checks are executed before the write, because they do not depend on the journal.
//!
//! In this module, "to record" means to add to the journal's buffer.

use std::collections::BTreeMap;
use std::time::Duration;

use rudderspindle_journal::{PendingNotification, Status};
use rudderspindle_policy::interface::{Action, Event, MessageHandle, Millis};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::attempts::AttemptRequest;
use super::completed_messages::{CompletedMessage, Completion};
use super::intake::{Intake, NewSubmission, PendingResponse};
use super::outage_records::record_outage;
use super::time::from_millis;
use crate::event::{Call, MESSAGE_LOG, SubmissionResponse};
use crate::metrics::FinalOutcome;

/// Time after a failed write of the journal before the next write, if no other batch is due earlier.
pub(super) const JOURNAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The final status of each message that the policy completes without delivery, by the message's handle.
type Completions = BTreeMap<MessageHandle, Status>;

/// The responses, notifications and calls that are sent once the batch is written.
#[derive(Debug, Default)]
struct Effects {
    /// Responses to submissions whose messages this batch does not add to the journal.
    responses: Vec<PendingResponse>,
    /// Submissions whose messages this batch accepts.
    accepted: Vec<AcceptedSubmission>,
    /// Notifications for the platform.
    notifications: Vec<PendingNotification>,
    /// The calls of the attempts that this batch records.
    calls: Vec<Call>,
}

/// A submission whose message is accepted once the batch is written.
#[derive(Debug)]
struct AcceptedSubmission {
    /// The message's handle.
    id: MessageHandle,
    /// Sends the response to the client's connection.
    response_sender: oneshot::Sender<SubmissionResponse>,
}

impl Engine {
    /// Records the policy's actions, writes them to the journal, and only then executes them.
    pub(super) fn commit_batch(&mut self, now: Instant, intake: Intake, actions: Vec<Action>) {
        let mut effects = Effects { responses: intake.immediate_responses, ..Effects::default() };
        let mut completions = completions(&actions);
        self.record_submissions(intake.new_submissions, &mut completions, &mut effects);
        self.record_completions(now, completions, &mut effects);
        self.apply_actions(now, actions, &mut effects);
        self.write_batch(now, &mut effects);
        self.execute_effects(effects);
    }

    /// Records the accepted messages. A message that is completed by the batch of its submission is not recorded: the
    /// client receives the final status as the response, and no notification is sent.
    fn record_submissions(
        &mut self,
        submissions: Vec<NewSubmission>,
        completions: &mut Completions,
        effects: &mut Effects,
    ) {
        for NewSubmission { id, class, journal_message, response_sender } in submissions {
            if let Some(status) = completions.remove(&id) {
                self.tracked_messages.remove(id);
                self.io.metrics.count_outcome(class, status.into());
                effects.responses.push(PendingResponse { response_sender, response: response_to(status) });
            } else {
                tracing::debug!(target: MESSAGE_LOG, message_id = &*journal_message.message_id,
                    class = &*journal_message.class, destination = journal_message.destination, "accepted");
                self.store.accept(journal_message);
                effects.accepted.push(AcceptedSubmission { id, response_sender });
            }
        }
    }

    /// Records the completions of messages accepted earlier, and adds the notifications about them.
    fn record_completions(&mut self, now: Instant, completions: Completions, effects: &mut Effects) {
        for (id, status) in completions {
            let Some(message) = self.tracked_messages.remove(id) else { continue };
            if self.return_to_backlog(now, &message) {
                continue;
            }
            tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, ?status, "completed");
            self.store.complete(&message.message_id, Some(status));
            if status == Status::Undeliverable {
                let completed = CompletedMessage::new(Completion::PossiblyExecuted, &message);
                self.completed_messages.insert(now, message.message_id.clone(), completed);
            }
            self.io.metrics.count_outcome(message.class, status.into());
            effects.notifications.push(PendingNotification { message_id: message.message_id, status });
        }
    }

    /// Records attempts and outages, sets timers, cancels calls and starts health checks.
    fn apply_actions(&mut self, now: Instant, actions: Vec<Action>, effects: &mut Effects) {
        for action in actions {
            match action {
                Action::Send { id, route, timeout, start_within } => {
                    let request = AttemptRequest { id, route, timeout, start_within };
                    effects.calls.extend(self.record_attempt(now, request));
                }
                Action::Wake { delay, token } => self.timers.set(now + from_millis(delay), token),
                Action::Cancel { id, attempt } => self.calls.cancel(id, attempt),
                Action::HealthCheck { route } => self.io.outbound.start_health_check(route),
                Action::PersistOutage { scope, outage } => {
                    record_outage(&mut self.store, &self.io.outbound, scope, outage);
                }
                // The endpoint list is always watched, and `record_completions` has handled completions.
                Action::Subscribe | Action::Refuse { .. } | Action::Fail { .. } => {}
            }
        }
    }

    /// Writes the batch to the journal. If that fails, drops the effects that depend on the write.
    fn write_batch(&mut self, now: Instant, effects: &mut Effects) {
        if !effects.accepted.is_empty() {
            failpoint!("accepted-before-record");
        }
        match self.store.commit() {
            Ok(()) => effects.notifications.append(&mut self.unwritten_notifications),
            Err(error) => {
                tracing::warn!(%error, "journal write failed");
                self.unwritten_notifications.append(&mut effects.notifications);
                self.drop_unwritten(now, effects);
            }
        }
        if !effects.accepted.is_empty() {
            failpoint!("accepted-recorded");
        }
        for _call in &effects.calls {
            failpoint!("attempt-{}-recorded", _call.attempt);
        }
    }

    /// Refuses the submissions and takes back the attempts of a batch whose write failed. The messages of these attempts
    /// are sent again after [`JOURNAL_RETRY_DELAY`].
    fn drop_unwritten(&mut self, now: Instant, effects: &mut Effects) {
        self.send_not_before = now + JOURNAL_RETRY_DELAY;
        for AcceptedSubmission { id, response_sender } in effects.accepted.drain(..) {
            if let Some(message) = self.tracked_messages.remove(id) {
                self.store.discard(&message.message_id);
                self.next_batch_events.push(Event::ClientDisconnected(id));
                self.io.metrics.count_outcome(message.class, FinalOutcome::Rejected);
            }
            effects.responses.push(PendingResponse {
                response_sender,
                response: SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER,
            });
        }
        for call in effects.calls.drain(..) {
            let event = self.discard_attempt(&call);
            self.next_batch_events.push(event);
        }
    }

    /// Sends the responses and notifications, starts the calls, and announces the number of calls in flight to the peer
    /// process (the successor or predecessor during a takeover).
    fn execute_effects(&mut self, effects: Effects) {
        let Effects { responses, accepted, notifications, calls } = effects;
        for PendingResponse { response_sender, response } in responses {
            // Sending fails if the client has disconnected; `Input::Withdrawn` reports that.
            let _ = response_sender.send(response);
        }
        for AcceptedSubmission { response_sender, .. } in accepted {
            let _ = response_sender.send(SubmissionResponse::Accepted);
        }
        for notification in notifications {
            self.io.notifications.push(notification);
        }
        for call in calls {
            let id = call.id;
            self.calls.insert(id, self.io.outbound.start_call(call));
        }
        self.announce_changed_calls();
        self.release_disk_space();
    }
}

/// The messages that the actions complete without delivery, with their final status.
fn completions(actions: &[Action]) -> Completions {
    let completion = |action: &Action| match *action {
        Action::Refuse { id, retry_after } => {
            Some((id, Status::Deferred((retry_after > 0.0).then_some(retry_after as u64))))
        }
        Action::Fail { id } => Some((id, Status::Undeliverable)),
        _ => None,
    };
    actions.iter().filter_map(completion).collect()
}

/// The response to a submission whose message is completed with this status by its own batch.
fn response_to(status: Status) -> SubmissionResponse {
    match status {
        Status::Undeliverable => SubmissionResponse::Failed,
        Status::Deferred(retry_after) => {
            SubmissionResponse::Refused { retry_after: retry_after.unwrap_or(0) as Millis }
        }
    }
}

#[cfg(test)]
mod tests;
