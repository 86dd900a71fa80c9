//! The timers that the policy has requested.

use tokio::time::Instant;

/// A timer of the policy.
#[derive(Clone, Copy, Debug)]
struct Timer {
    due_at: Instant,
    /// Identifies the timer to the policy.
    token: u64,
}

/// The policy's timers, in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct Timers(Vec<Timer>);

impl Timers {
    /// Adds a timer that is due at `due_at`; `token` identifies it to the policy.
    pub fn set(&mut self, due_at: Instant, token: u64) {
        self.0.push(Timer { due_at, token });
    }

    /// Removes the timers that are due at `now`; returns their tokens in the order in which they were set.
    pub fn take_due(&mut self, now: Instant) -> Vec<u64> {
        self.0.extract_if(.., |timer| timer.due_at <= now).map(|timer| timer.token).collect()
    }

    /// The due times of all timers, in the order in which the timers were set.
    pub fn due_times(&self) -> impl Iterator<Item = Instant> + '_ {
        self.0.iter().map(|timer| timer.due_at)
    }

    /// Number of timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
