//! Carries out the policy's decisions for a batch, with one write to the journal.
//!
//! Invariant: no response and no call is sent before the write. The steps before it change only the engine and the
//! journal's buffer, and collect [`Effects`]; these are executed after it. If it fails, submissions are refused and
//! attempts dropped. Completions stay in the journal's buffer until a later write: their messages are not sent again,
//! and their notifications go to the platform. Cancellations and health checks promise nothing, and go at once.

use std::collections::BTreeMap;

use rudderspindle_journal::{PendingNotification, Status};
use rudderspindle_policy::interface::{Action, Event, MessageHandle, Millis, Outcome};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::attempts::AttemptRequest;
use super::intake::{Intake, NewSubmission, PendingResponse};
use super::outage_records::record_outage;
use super::time::from_millis;
use crate::event::{Call, CallOutcome, MESSAGE_LOG, SubmissionResponse};
use crate::metrics::FinalOutcome;

/// Messages that the policy completes without delivery, by handle.
type Completions = BTreeMap<MessageHandle, Status>;

/// What is sent once the batch is written.
#[derive(Debug, Default)]
struct Effects {
    /// Responses to submissions that were not accepted by this batch.
    responses: Vec<PendingResponse>,
    /// Submissions that are accepted by this batch.
    accepted: Vec<AcceptedSubmission>,
    /// Notifications for the platform.
    notifications: Vec<PendingNotification>,
    /// The calls of reserved attempts.
    calls: Vec<Call>,
}

/// A submission whose message is accepted once the batch is written.
#[derive(Debug)]
struct AcceptedSubmission {
    id: MessageHandle,
    channel: oneshot::Sender<SubmissionResponse>,
}

impl Engine {
    /// Records the decisions in one write, and only then acts on them.
    pub(super) fn carry_out(&mut self, now: Instant, intake: Intake, actions: Vec<Action>) {
        let mut effects = Effects { responses: intake.responses, ..Effects::default() };
        let mut completions = completions(&actions);
        self.record_submissions(intake.new, &mut completions, &mut effects);
        self.record_completions(now, completions, &mut effects);
        self.apply_actions(now, actions, &mut effects);
        self.write(&mut effects);
        self.execute(effects);
    }

    /// Records the accepted submissions. A message that is completed by the batch of its submission is not accepted: its
    /// client has the response, and there is no notification.
    fn record_submissions(
        &mut self,
        submissions: Vec<NewSubmission>,
        completions: &mut Completions,
        effects: &mut Effects,
    ) {
        for NewSubmission { id, class, record, channel } in submissions {
            if let Some(status) = completions.remove(&id) {
                self.tracked.remove(id);
                self.io.metrics.record_outcome(class, status.into());
                effects.responses.push(PendingResponse { channel, response: response_to(status) });
            } else {
                tracing::debug!(target: MESSAGE_LOG, message_id = &*record.message_id, class = &*record.class,
                    destination = record.destination, "accepted");
                self.store.accept(record);
                effects.accepted.push(AcceptedSubmission { id, channel });
            }
        }
    }

    /// Records the completions of accepted messages, and the notifications of their clients.
    fn record_completions(&mut self, now: Instant, completions: Completions, effects: &mut Effects) {
        for (id, status) in completions {
            let Some(message) = self.tracked.remove(id) else { continue };
            if self.return_to_backlog(now, &message) {
                continue;
            }
            tracing::debug!(target: MESSAGE_LOG, message_id = &*message.message_id, ?status, "completed");
            self.store.complete(&message.message_id, Some(status));
            self.io.metrics.record_outcome(message.class, status.into());
            effects.notifications.push(PendingNotification { message_id: message.message_id, status });
        }
    }

    /// Reserves attempts, sets timers, and applies the remaining actions.
    fn apply_actions(&mut self, now: Instant, actions: Vec<Action>, effects: &mut Effects) {
        for action in actions {
            match action {
                Action::Send { id, route, timeout, start_within } => {
                    let request = AttemptRequest { id, route, timeout, start_within };
                    effects.calls.extend(self.reserve_attempt(now, request));
                }
                Action::Wake { delay, token } => self.timers.set(now + from_millis(delay), token),
                Action::Cancel { id, attempt } => self.calls.cancel(id, attempt),
                Action::HealthCheck { route } => self.io.outbound.start_health_check(route),
                Action::PersistOutage { scope, outage } => {
                    record_outage(&mut self.store, &self.io.outbound, scope, outage);
                }
                // The endpoint list is always watched, and completions have been recorded.
                Action::Subscribe | Action::Refuse { .. } | Action::Fail { .. } => {}
            }
        }
    }

    /// Writes the batch to the journal; if that fails, removes the effects that depend on it.
    fn write(&mut self, effects: &mut Effects) {
        if !effects.accepted.is_empty() {
            failpoint!("accepted-before-record");
        }
        if let Err(error) = self.store.commit() {
            tracing::warn!(%error, "journal write failed");
            self.undo(effects);
        }
        if !effects.accepted.is_empty() {
            failpoint!("accepted-recorded");
        }
        for _call in &effects.calls {
            failpoint!("attempt-{}-recorded", _call.attempt);
        }
    }

    /// Refuses the submissions and drops the attempts that could not be written.
    fn undo(&mut self, effects: &mut Effects) {
        for AcceptedSubmission { id, channel } in effects.accepted.drain(..) {
            if let Some(message) = self.tracked.remove(id) {
                self.store.discard(&message.message_id);
                self.next_batch_events.push(Event::ClientDisconnected(id));
                self.io.metrics.record_outcome(message.class, FinalOutcome::Rejected);
            }
            effects.responses.push(PendingResponse { channel, response: SubmissionResponse::REFUSED });
        }
        for call in effects.calls.drain(..) {
            let event = self.record_result(call.id, call.attempt, CallOutcome::from(Outcome::NotSent));
            self.next_batch_events.push(event);
        }
    }

    /// Sends the responses and notifications, starts the calls, and announces their number to the peer process.
    fn execute(&mut self, effects: Effects) {
        let Effects { responses, accepted, notifications, calls } = effects;
        for PendingResponse { channel, response } in responses {
            // Fails if the client has disconnected, which is reported as a withdrawal.
            let _ = channel.send(response);
        }
        for AcceptedSubmission { channel, .. } in accepted {
            let _ = channel.send(SubmissionResponse::Accepted);
        }
        for notification in notifications {
            self.io.notifications.push(notification);
        }
        for call in calls {
            let id = call.id;
            self.calls.insert(id, self.io.outbound.start_call(call));
        }
        self.announce_changed_calls();
    }
}

/// The completions among the actions.
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

/// The response to a submission that the policy does not accept.
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
