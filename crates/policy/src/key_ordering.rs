//! The order of the messages of each ordering key, and which keys pause. No decision.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{MessageHandle, Millis};

/// The messages of each ordering key in the order they were accepted. A key is forgotten once it has no
/// messages and does not pause.
#[derive(Debug, Default)]
pub(crate) struct KeyOrdering {
    queues: BTreeMap<u64, KeyQueue>,
}

/// The messages of one key.
#[derive(Debug, Default)]
struct KeyQueue {
    messages: VecDeque<MessageHandle>,
    /// Until when the key pauses, for all but one of its messages.
    paused_until: Millis,
    /// The message whose retries the pause does not hold up.
    paused_by: Option<MessageHandle>,
}

impl KeyOrdering {
    /// Puts a message last in its key's order; key 0 is no key.
    pub fn join(&mut self, key: u64, id: MessageHandle) {
        if key != 0 {
            self.queues.entry(key).or_default().messages.push_back(id);
        }
    }

    /// Takes a message out of its key's order.
    pub fn leave(&mut self, key: u64, id: MessageHandle) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.messages.retain(|&waiting| waiting != id);
        }
    }

    /// An attempt of this message may still run: until then no other message of its key goes.
    pub fn pause(&mut self, key: u64, id: MessageHandle, until: Millis) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = until;
            queue.paused_by = Some(id);
        }
    }

    /// Whether no message of its key was accepted before it.
    pub fn is_first(&self, key: u64, id: MessageHandle) -> bool {
        self.queues.get(&key).is_none_or(|queue| queue.messages.front() == Some(&id))
    }

    /// Whether its key pauses for the message.
    pub fn is_paused(&self, key: u64, id: MessageHandle, now: Millis) -> bool {
        self.queues.get(&key).is_some_and(|queue| queue.paused_until > now && queue.paused_by != Some(id))
    }

    /// When the keys that pause now go on.
    pub fn pause_ends(&self, now: Millis) -> impl Iterator<Item = Millis> {
        self.queues.values().map(|queue| queue.paused_until).filter(move |&until| until > now)
    }

    /// Forgets the keys without messages that do not pause.
    pub fn forget_idle(&mut self, now: Millis) {
        self.queues.retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.queues.len()
    }
}
