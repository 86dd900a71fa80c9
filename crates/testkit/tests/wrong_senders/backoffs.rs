//! The Retry-Afters that a sender is waiting for.

use std::collections::HashMap;

use tokio::time::Instant;

/// When the Retry-Afters of each scope end.
#[derive(Debug, Default)]
pub struct Backoffs(HashMap<String, Instant>);

impl Backoffs {
    /// Records a Retry-After. The latest end of a scope counts, in whichever order responses arrive.
    pub fn record(&mut self, scope: &str, until: Instant) {
        let end = self.0.entry(scope.to_owned()).or_insert(until);
        *end = (*end).max(until);
    }

    /// Whether a Retry-After of a scope has not passed yet.
    pub fn is_active(&self, scope: &str, now: Instant) -> bool {
        self.0.get(scope).is_some_and(|until| *until > now)
    }
}
