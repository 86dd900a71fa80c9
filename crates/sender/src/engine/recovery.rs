//! Recovers messages and notifications from the journal, at the start and at a takeover.
//!
//! An attempt without an outcome on record may have been executed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, MessageId, PendingNotification, Status};
use rudderspindle_policy::interface::{
    AttemptHistory, DestinationId, Event, Message, Millis, PriorExecution,
};
use tokio::time::Instant;

use super::Engine;
use super::backlog::{RecoveredExecution, RecoveredMessage};
use super::time::to_millis;
use super::tracked_messages::TrackedMessage;
use crate::event::MESSAGE_LOG;

/// Minimum remaining time of a message that returns to the backlog when the policy sheds it.
const MIN_TIME_TO_REQUEUE: Duration = Duration::from_millis(500);

/// The clocks at the time of a recovery.
#[derive(Clone, Copy, Debug)]
struct RecoveryTime {
    now: Instant,
    /// The wall clock.
    wall: UnixMillis,
    /// Whether the wall clock is before the latest attempt on record.
    set_back: bool,
}

impl RecoveryTime {
    /// The age of an attempt; the maximum if the wall clock was set back.
    fn age_of_attempt(&self, started_at: UnixMillis) -> Millis {
        let started_at = if self.set_back { UnixMillis::EPOCH } else { started_at };
        self.wall.millis_since(started_at) as Millis
    }
}

impl Engine {
    /// Puts the messages of a journal into the backlog, and queues the notifications that the platform has not
    /// acknowledged.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        messages: Vec<journal::Message>,
        mut pending: Vec<PendingNotification>,
    ) {
        // The order of the journal's map is random.
        pending.sort_unstable_by(|a, b| a.message_id.cmp(&b.message_id));
        for notification in pending {
            self.io.notifications.push(notification);
        }
        let wall = UnixMillis::now();
        let time = RecoveryTime { now, wall, set_back: self.store.latest_attempt() > wall };
        if time.set_back {
            tracing::warn!(
                "clock was set back; attempts on record count as outside their idempotency window"
            );
        }
        if !messages.is_empty() {
            tracing::warn!(messages = messages.len(), "messages recovered from the journal");
        }
        let mut recovered = Vec::new();
        let mut unknown_classes = BTreeMap::<Rc<str>, Vec<MessageId>>::new();
        for message in messages {
            match self.names.classes.iter().position(|name| **name == *message.class) {
                Some(class) => recovered.push(self.recover_message(time, class, message)),
                None => unknown_classes.entry(message.class).or_default().push(message.message_id),
            }
        }
        self.fail_unknown_classes(unknown_classes);
        self.backlog.extend(recovered);
    }

    fn recover_message(
        &mut self,
        time: RecoveryTime,
        class: usize,
        message: journal::Message,
    ) -> RecoveredMessage {
        // The wall clock may have been set back.
        let max_time_left = self.settings.classes[class].deadline as u64;
        let time_left = message.deadline.millis_since(time.wall).min(max_time_left);
        let possibly_executed = message.possibly_executed.as_ref().map(|execution| {
            let execution = PriorExecution {
                ago: time.age_of_attempt(execution.sent_at),
                route: self.endpoints.route(&execution.receiver, time.now),
                zone: self.endpoints.zone(&execution.zone),
            };
            RecoveredExecution { read_at: time.now, execution }
        });
        RecoveredMessage {
            class,
            value: self.settings.classes[class].value,
            deadline: time.now + Duration::from_millis(time_left),
            possibly_executed,
            message,
        }
    }

    /// Fails the messages whose class is no longer in the settings.
    fn fail_unknown_classes(&mut self, unknown_classes: BTreeMap<Rc<str>, Vec<MessageId>>) {
        for (class, mut message_ids) in unknown_classes {
            tracing::warn!(%class, messages = message_ids.len(), "messages failed: the settings do not have their class");
            message_ids.sort_unstable();
            for message_id in message_ids {
                self.store.complete(&message_id, Some(Status::Undeliverable));
                self.io.notifications.push(PendingNotification { message_id, status: Status::Undeliverable });
            }
        }
    }

    /// Moves messages from the backlog to the policy: those whose deadline is over, and as many as it has capacity for
    /// besides the new ones of this batch, so that none is shed without an attempt.
    pub(super) fn take_from_backlog(&mut self, now: Instant, new_messages: usize) -> Vec<Event> {
        let capacity = self.policy.free_capacity().saturating_sub(new_messages);
        let taken = self.backlog.take(capacity, now);
        taken.into_iter().map(|message| self.track_recovered(now, message)).collect()
    }

    /// Returns a message that the policy has shed to the backlog, if an earlier process accepted it, no attempt was made
    /// and enough time is left. Returns whether that is so.
    pub(super) fn return_to_backlog(&mut self, now: Instant, shed: &TrackedMessage) -> bool {
        let untried = shed.attempts == 0 && shed.recovered;
        if !untried || shed.deadline.saturating_duration_since(now) < MIN_TIME_TO_REQUEUE {
            return false;
        }
        let Some(message) = self.store.pending_message(&shed.message_id).cloned() else { return false };
        tracing::debug!(target: MESSAGE_LOG, message_id = &*shed.message_id, "returned to the backlog");
        self.backlog.extend([RecoveredMessage {
            class: shed.class,
            value: self.settings.classes[shed.class].value,
            deadline: shed.deadline,
            possibly_executed: None,
            message,
        }]);
        true
    }

    fn track_recovered(&mut self, now: Instant, recovered: RecoveredMessage) -> Event {
        let RecoveredMessage { class, deadline, possibly_executed, message: record, .. } = recovered;
        let time_left = to_millis(deadline.saturating_duration_since(now));
        tracing::debug!(target: MESSAGE_LOG, message_id = &*record.message_id, attempts = record.attempts,
            possibly_executed = ?record.possibly_executed, time_left, "recovered");
        let possibly_executed = possibly_executed.map(|RecoveredExecution { read_at, execution }| {
            let since = to_millis(now.saturating_duration_since(read_at));
            PriorExecution { ago: execution.ago + since, ..execution }
        });
        let tenant = self.names.tenants.iter().position(|name| **name == *record.tenant);
        let attempts = record.attempts;
        let id = self.track(TrackedMessage {
            message_id: record.message_id,
            class,
            recovered: true,
            submissions: Vec::new(),
            idempotency_key: record.idempotency_key,
            body: record.body,
            deadline,
            attempts,
            receiver: None,
        });
        let message = Message {
            id,
            class,
            tenant: tenant.unwrap_or(usize::MAX),
            ordering_key: 0,
            time_left,
            work_estimate: None,
            destination: DestinationId(record.destination),
        };
        Event::Recovered(message, AttemptHistory { attempts, possibly_executed })
    }
}

#[cfg(test)]
mod tests;
