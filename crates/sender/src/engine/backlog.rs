//! Recovered messages that wait for capacity in the policy.

use rudderspindle_journal as journal;
use rudderspindle_policy::interface::PriorExecution;
use tokio::time::Instant;

/// A message that was read from the journal and is not tracked yet.
#[derive(Debug)]
pub(super) struct RecoveredMessage {
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Value of the message's class in the settings; messages with a higher value are taken first.
    pub value: f64,
    /// The message's deadline.
    pub deadline: Instant,
    /// The attempt that may have been executed, if there is one.
    pub possibly_executed: Option<RecoveredExecution>,
    /// The message as read from the journal.
    pub message: journal::Message,
}

/// An attempt of an earlier process that may have been executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecoveredExecution {
    /// When the journal was read.
    pub read_at: Instant,
    /// The attempt; its field `ago` is the attempt's age at `read_at`, in milliseconds.
    pub execution: PriorExecution,
}

/// The waiting messages, ordered by ascending value: the message to take next is the last one.
#[derive(Debug, Default)]
pub(super) struct Backlog(Vec<RecoveredMessage>);

impl Backlog {
    /// Number of messages.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no message.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Deadlines of the messages.
    pub fn deadlines(&self) -> impl Iterator<Item = Instant> + '_ {
        self.0.iter().map(|message| message.deadline)
    }

    /// Adds messages. Among messages of equal value, the one with the earlier deadline is taken first.
    pub fn extend(&mut self, messages: impl IntoIterator<Item = RecoveredMessage>) {
        self.0.extend(messages);
        self.0.sort_unstable_by(|a, b| {
            let by_value = a.value.total_cmp(&b.value);
            by_value.then(b.deadline.cmp(&a.deadline)).then(b.message.message_id.cmp(&a.message.message_id))
        });
    }

    /// Removes the `count` most valuable messages, and all others whose deadline has passed. Returns the most valuable
    /// messages first, in descending order, and then those past their deadline.
    pub fn take(&mut self, count: usize, now: Instant) -> Vec<RecoveredMessage> {
        let remaining_count = self.0.len().saturating_sub(count);
        let mut taken = self.0.split_off(remaining_count);
        taken.reverse();
        taken.extend(self.0.extract_if(.., |message| message.deadline <= now));
        taken
    }
}

#[cfg(test)]
mod tests;
