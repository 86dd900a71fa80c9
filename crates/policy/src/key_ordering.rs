//! Ordering keys: whose turn it is, and which keys rest.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{MessageHandle, Millis};

/// The messages of each ordering key in the order they were taken. A key goes when its messages have and its
/// rest is over.
#[derive(Debug, Default)]
pub(crate) struct KeyOrdering(BTreeMap<u64, Queue>);

#[derive(Debug, Default)]
struct Queue {
    order: VecDeque<MessageHandle>,
    /// Until when the key rests, for all but one of its messages.
    rest_until: Millis,
    rest_for: Option<MessageHandle>,
}

impl KeyOrdering {
    /// A message comes last; key 0 is no key.
    pub fn join(&mut self, key: u64, id: MessageHandle) {
        if key != 0 {
            self.0.entry(key).or_default().order.push_back(id);
        }
    }

    pub fn leave(&mut self, key: u64, id: MessageHandle) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.order.retain(|&waiting| waiting != id);
        }
    }

    /// An attempt of this message may still be running: the key rests until then for all others.
    pub fn rest(&mut self, key: u64, id: MessageHandle, until: Millis) {
        if let Some(queue) = self.0.get_mut(&key) {
            (queue.rest_until, queue.rest_for) = (until, Some(id));
        }
    }

    /// Whether it is first and its key is at rest no more.
    pub fn is_next(&self, key: u64, id: MessageHandle, now: Millis) -> bool {
        let Some(queue) = self.0.get(&key) else { return true };
        queue.order.front() == Some(&id) && (queue.rest_until <= now || queue.rest_for == Some(id))
    }

    /// When keys that rest now are over it.
    pub fn rests(&self, now: Millis) -> impl Iterator<Item = Millis> {
        self.0.values().map(|queue| queue.rest_until).filter(move |&at| at > now)
    }

    pub fn forget_idle(&mut self, now: Millis) {
        self.0.retain(|_, queue| !queue.order.is_empty() || queue.rest_until > now);
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
