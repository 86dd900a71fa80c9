//! The memory of idempotency keys that the endpoints of a zone share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a key is remembered.
pub const KEY_TIME: Duration = Duration::from_secs(15);
/// Number of remembered keys above which the oldest ones are forgotten.
const MAX_KEYS: usize = 100_000;

/// A key and when it is forgotten.
#[derive(Debug)]
struct RememberedKey {
    key: String,
    expires: Instant,
}

/// Keys that are remembered, in the order of their expiry.
#[derive(Debug, Default)]
pub(super) struct KeyMemory {
    expiry: HashMap<String, Instant>,
    queue: VecDeque<RememberedKey>,
}

impl KeyMemory {
    /// Whether the key is new; remembers it if so.
    pub(super) fn insert(&mut self, key: &str, now: Instant) -> bool {
        self.forget_expired(now);
        if self.expiry.contains_key(key) {
            return false;
        }
        let expires = now + KEY_TIME;
        self.expiry.insert(key.to_owned(), expires);
        self.queue.push_back(RememberedKey { key: key.to_owned(), expires });
        true
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.queue.front().is_some_and(|oldest| oldest.expires <= now) || self.queue.len() > MAX_KEYS {
            if let Some(oldest) = self.queue.pop_front() {
                self.expiry.remove(&oldest.key);
            }
        }
    }
}
