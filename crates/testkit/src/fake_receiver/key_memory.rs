//! The idempotency keys of executed calls, which the endpoints of a zone share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a key is remembered after its first call.
pub const KEY_LIFETIME: Duration = Duration::from_secs(15);
/// Maximum number of remembered keys of a zone; the oldest keys beyond it are forgotten.
const MAX_KEYS: usize = 100_000;

/// A key and the time at which it is forgotten.
#[derive(Debug)]
struct RememberedKey {
    key: String,
    expires_at: Instant,
}

/// The remembered keys of one zone.
#[derive(Debug, Default)]
pub(super) struct KeyMemory {
    /// Time at which each key is forgotten.
    expiry: HashMap<String, Instant>,
    /// All keys, in the order in which they are forgotten.
    queue: VecDeque<RememberedKey>,
}

impl KeyMemory {
    /// Remembers a key if it is new. Returns whether it is.
    pub(super) fn insert(&mut self, key: &str, now: Instant) -> bool {
        self.forget_expired(now);
        if self.expiry.contains_key(key) {
            return false;
        }
        let expires_at = now + KEY_LIFETIME;
        self.expiry.insert(key.to_owned(), expires_at);
        self.queue.push_back(RememberedKey { key: key.to_owned(), expires_at });
        true
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.queue.front().is_some_and(|oldest| oldest.expires_at <= now) || self.queue.len() > MAX_KEYS
        {
            if let Some(oldest) = self.queue.pop_front() {
                self.expiry.remove(&oldest.key);
            }
        }
    }
}
