//! The order of messages with the same ordering key, and pauses of keys.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{MessageHandle, Millis};

/// The pending messages of each ordering key in the order of acceptance. A key is removed once it has no
/// messages and is not paused.
#[derive(Debug, Default)]
pub(crate) struct KeyOrdering {
    queues: BTreeMap<u64, KeyQueue>,
}

/// The pending messages of one key, and its pause.
#[derive(Debug, Default)]
struct KeyQueue {
    messages: VecDeque<MessageHandle>,
    /// When the pause of the key ends; the pause applies to all messages other than `paused_by`.
    paused_until: Millis,
    /// The message whose attempt may still be running; it may be retried during the pause.
    paused_by: Option<MessageHandle>,
}

impl KeyOrdering {
    /// Appends a message to the queue of its key; key 0 means no ordering.
    pub fn push(&mut self, key: u64, id: MessageHandle) {
        if key != 0 {
            self.queues.entry(key).or_default().messages.push_back(id);
        }
    }

    /// Removes a message from the queue of its key.
    pub fn remove(&mut self, key: u64, id: MessageHandle) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.messages.retain(|&waiting| waiting != id);
        }
    }

    /// Pauses the key of a message whose attempt may still be running. No other message of the key is sent
    /// before `until`.
    pub fn pause(&mut self, key: u64, id: MessageHandle, until: Millis) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = until;
            queue.paused_by = Some(id);
        }
    }

    /// Whether a message may be sent: it is the first of its key, and the key is not paused for it.
    pub fn is_next(&self, key: u64, id: MessageHandle, now: Millis) -> bool {
        self.queues.get(&key).is_none_or(|queue| {
            let is_paused = queue.paused_until > now && queue.paused_by != Some(id);
            queue.messages.front() == Some(&id) && !is_paused
        })
    }

    /// The times at which the paused keys resume.
    pub fn pause_ends(&self, now: Millis) -> impl Iterator<Item = Millis> {
        self.queues.values().map(|queue| queue.paused_until).filter(move |&until| until > now)
    }

    /// Removes the keys without messages that are not paused.
    pub fn remove_idle(&mut self, now: Millis) {
        self.queues.retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
    }

    pub fn len(&self) -> usize {
        self.queues.len()
    }
}
