//! Recovers messages and notifications from the journal, at the start of the process and at a takeover.
//!
//! An attempt whose outcome is not in the journal may have been executed by its receiver.

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
use super::completed_messages::CompletedMessage;
use super::time::to_millis;
use super::tracked_messages::TrackedMessage;
use crate::event::MESSAGE_LOG;

/// Minimum time that must remain to a message's deadline for the message to return to the backlog when the policy sheds
/// it.
const MIN_TIME_TO_REQUEUE: Duration = Duration::from_millis(500);

/// The time of a recovery, on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug)]
struct RecoveryTime {
    now: Instant,
    /// The wall clock time at `now`.
    wall_now: UnixMillis,
    /// Whether the wall clock time is before the latest attempt in the journal.
    clock_set_back: bool,
}

impl RecoveryTime {
    /// The age of an attempt, in milliseconds. If the wall clock was set back, the age counts from
    /// [`UnixMillis::EPOCH`], so that it is longer than any idempotency window.
    fn age_of_attempt(&self, started_at: UnixMillis) -> Millis {
        let started_at = if self.clock_set_back { UnixMillis::EPOCH } else { started_at };
        self.wall_now.millis_since(started_at) as Millis
    }
}

impl Engine {
    /// Puts the messages of a journal into the backlog, and queues the notifications that the platform has not
    /// acknowledged. The ids of its complete messages are not accepted again for a while.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        messages: Vec<journal::Message>,
        mut notifications: Vec<PendingNotification>,
    ) {
        // The notifications come in random order, because they are iterated from a hash map.
        notifications.sort_unstable_by(|a, b| a.message_id.cmp(&b.message_id));
        for notification in notifications {
            self.io.notifications.push(notification);
        }
        for message_id in self.store.take_possibly_executed() {
            self.completed_messages.insert(now, message_id, CompletedMessage::RECOVERED);
        }
        let wall_now = UnixMillis::now();
        let time = RecoveryTime { now, wall_now, clock_set_back: self.store.latest_attempt() > wall_now };
        if time.clock_set_back {
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

    /// Converts a message from the journal to an entry of the backlog.
    fn recover_message(
        &mut self,
        time: RecoveryTime,
        class: usize,
        message: journal::Message,
    ) -> RecoveredMessage {
        // The time left is limited to the deadline of the message's class, because the wall clock may have been set
        // back.
        let max_time_left = self.settings.classes[class].deadline as u64;
        let time_left = message.deadline.millis_since(time.wall_now).min(max_time_left);
        let possibly_executed = message.possibly_executed.as_ref().map(|execution| {
            let execution = PriorExecution {
                ago: time.age_of_attempt(execution.sent_at),
                route: self.endpoints.find_or_add_route(&execution.receiver, time.now),
                zone: self.endpoints.find_or_add_zone(&execution.zone),
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

    /// Completes messages whose class is no longer in the settings as undeliverable. `unknown_classes` has the ids of
    /// these messages by the name of the class.
    fn fail_unknown_classes(&mut self, unknown_classes: BTreeMap<Rc<str>, Vec<MessageId>>) {
        for (class, mut message_ids) in unknown_classes {
            tracing::warn!(%class, messages = message_ids.len(), "messages failed: the settings do not have their class");
            message_ids.sort_unstable();
            for message_id in message_ids {
                self.store.complete(&message_id, Some(Status::Undeliverable));
                let notification = PendingNotification { message_id, status: Status::Undeliverable };
                self.unwritten_notifications.push(notification);
            }
        }
    }

    /// Moves messages from the backlog to the policy: all messages whose deadline has passed, and as many others as the
    /// policy has capacity for besides the `new_messages` of this batch. This limit keeps the policy from shedding a
    /// recovered message without an attempt.
    pub(super) fn take_from_backlog(&mut self, now: Instant, new_messages: usize) -> Vec<Event> {
        let capacity = self.policy.free_capacity().saturating_sub(new_messages);
        let taken = self.backlog.take(capacity, now);
        taken.into_iter().map(|message| self.track_recovered_message(now, message)).collect()
    }

    /// Puts a message that the policy has shed back into the backlog if an earlier process accepted it, no attempt was
    /// made and at least [`MIN_TIME_TO_REQUEUE`] remains to its deadline. Returns whether it was put back.
    pub(super) fn return_to_backlog(&mut self, now: Instant, shed: &TrackedMessage) -> bool {
        let never_attempted = shed.attempts == 0 && shed.recovered;
        if !never_attempted || shed.deadline.saturating_duration_since(now) < MIN_TIME_TO_REQUEUE {
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

    /// Tracks a message from the backlog, and returns the event for the policy.
    fn track_recovered_message(&mut self, now: Instant, recovered: RecoveredMessage) -> Event {
        let RecoveredMessage { class, deadline, possibly_executed, message: journal_message, .. } = recovered;
        let time_left = to_millis(deadline.saturating_duration_since(now));
        tracing::debug!(target: MESSAGE_LOG, message_id = &*journal_message.message_id,
            attempts = journal_message.attempts, possibly_executed = ?journal_message.possibly_executed, time_left, "recovered");
        let possibly_executed = possibly_executed.map(|RecoveredExecution { read_at, execution }| {
            let time_since_read = to_millis(now.saturating_duration_since(read_at));
            PriorExecution { ago: execution.ago + time_since_read, ..execution }
        });
        let tenant_index = self.names.tenants.iter().position(|name| **name == *journal_message.tenant);
        let tenant = tenant_index.unwrap_or(usize::MAX);
        let destination = DestinationId(journal_message.destination);
        let attempts = journal_message.attempts;
        let id = self.track(TrackedMessage {
            message_id: journal_message.message_id,
            class,
            tenant,
            destination,
            recovered: true,
            submissions: Vec::new(),
            idempotency_key: journal_message.idempotency_key,
            body: journal_message.body,
            deadline,
            attempts,
            called_receiver: None,
        });
        let message =
            Message { id, class, tenant, ordering_key: 0, time_left, work_estimate: None, destination };
        Event::Recovered(message, AttemptHistory { attempts, possibly_executed })
    }
}

#[cfg(test)]
mod tests;
