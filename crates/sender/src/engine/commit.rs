//! Carries out what the policy has decided for a batch, with one write to the journal.
//!
//! Invariant: nothing is answered or sent before the write. All that comes before it changes only the engine and the
//! journal's buffer, and collects [`Effects`]; these are executed after it. If it fails, submissions are refused and
//! attempts dropped. Completions stay in the journal's buffer until a later write: their messages are not sent again,
//! and their notifications go to the platform. Cancellations and health checks promise nothing, and go at once.

use std::collections::BTreeMap;

use rudderspindle_journal::{Notice, Status};
use rudderspindle_policy::interface::{Action, Event, MessageHandle, Millis, Outcome};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Engine;
use super::attempts::AttemptRequest;
use super::intake::{Intake, NewSubmission, PendingAnswer};
use super::time::from_millis;
use crate::event::{Answer, AttemptResult, Call, MESSAGE_LOG};
use crate::metrics::FinalOutcome;

/// Messages that the policy completes without delivery, by handle.
type Completions = BTreeMap<MessageHandle, Status>;

/// What is answered and sent once the batch is written.
#[derive(Debug, Default)]
struct Effects {
    /// Answers to submissions that were not accepted by this batch.
    answers: Vec<PendingAnswer>,
    /// Submissions that are accepted.
    accepted: Vec<AcceptedSubmission>,
    /// Notifications for the platform.
    notifications: Vec<Notice>,
    /// Attempts that are reserved.
    calls: Vec<Call>,
}

/// A submission whose message is accepted once the batch is written.
#[derive(Debug)]
struct AcceptedSubmission {
    id: MessageHandle,
    channel: oneshot::Sender<Answer>,
}

impl Engine {
    /// Records the decisions in one write, and only then acts on them.
    pub(super) fn carry_out(&mut self, now: Instant, intake: Intake, actions: Vec<Action>) {
        let mut effects = Effects { answers: intake.answers, ..Effects::default() };
        let mut completions = completions(&actions);
        self.record_submissions(intake.new, &mut completions, &mut effects);
        self.record_completions(now, completions, &mut effects);
        self.apply_actions(now, actions, &mut effects);
        self.write(&mut effects);
        self.execute(effects);
    }

    /// Records the submissions that are accepted. A message that the batch of its submission completes was never
    /// accepted: its client is answered at once, and there is no notification.
    fn record_submissions(
        &mut self,
        submissions: Vec<NewSubmission>,
        completions: &mut Completions,
        effects: &mut Effects,
    ) {
        for NewSubmission { id, class, record, channel } in submissions {
            if let Some(status) = completions.remove(&id) {
                self.tracked.remove(id);
                self.metrics.record_outcome(class, status.into());
                effects.answers.push(PendingAnswer { channel, answer: answer_of(status) });
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
            self.metrics.record_outcome(message.class, status.into());
            effects.notifications.push(Notice { message_id: message.message_id, status });
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
                Action::Wake { delay, token } => self.wakes.push((now + from_millis(delay), token)),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::HealthCheck { route } => self.outbound.start_health_check(route),
                Action::Remember { scope, outage } => self.record_outage(scope, outage),
                // The watch on the endpoint list is always on, and completions are recorded by now.
                Action::Subscribe | Action::Refuse { .. } | Action::Fail { .. } => {}
            }
        }
    }

    /// Writes the batch to the journal; undoes what must not happen if that fails.
    fn write(&mut self, effects: &mut Effects) {
        if !effects.accepted.is_empty() {
            failpoint!("taken-on-before-record");
        }
        if let Err(error) = self.store.commit() {
            tracing::warn!(%error, "journal write failed");
            self.undo(effects);
        }
        if !effects.accepted.is_empty() {
            failpoint!("taken-on-recorded");
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
                self.carried.push(Event::Dropped(id));
                self.metrics.record_outcome(message.class, FinalOutcome::Rejected);
            }
            effects.answers.push(PendingAnswer { channel, answer: Answer::REFUSED });
        }
        for call in effects.calls.drain(..) {
            let event = self.record_result(call.id, call.attempt, AttemptResult::from(Outcome::NotSent));
            self.carried.push(event);
        }
    }

    /// Answers clients, notifies the platform, starts calls, and tells the peer process of them.
    fn execute(&mut self, effects: Effects) {
        let Effects { answers, accepted, notifications, calls } = effects;
        for PendingAnswer { channel, answer } in answers {
            // A client that has disconnected is reported as a withdrawal.
            let _ = channel.send(answer);
        }
        for AcceptedSubmission { channel, .. } in accepted {
            let _ = channel.send(Answer::Accepted);
        }
        for notice in notifications {
            self.notifications.push(notice);
        }
        for call in calls {
            let id = call.id;
            self.calls.insert(id, self.outbound.start_call(call));
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

/// The answer to a submission that the policy does not accept.
fn answer_of(status: Status) -> Answer {
    match status {
        Status::Undeliverable => Answer::Failed,
        Status::Deferred(retry_after) => Answer::Refused { retry_after: retry_after.unwrap_or(0) as Millis },
    }
}

#[cfg(test)]
mod tests;
