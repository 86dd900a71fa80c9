//! What a sender itself sees of one receiver.

use super::{Seen, Word};

/// Failures in a row that make a sender judge: one call in forty is lost by itself on a bad day, and of hundreds of
/// senders three would see that of any receiver.
const FAILURES: u32 = 2;
/// Own sight is kept for so long, ms.
const KEPT: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sight {
    /// Failures since the last good answer, when the first and the last were, ms.
    failures: u32,
    first: u64,
    failed: u64,
    answered: Option<u64>,
    /// Whether it was judged down before that answer.
    came_back: bool,
}

impl Sight {
    pub fn take_in(&mut self, now: u64, seen: Seen) {
        match seen {
            Seen::Answered => {
                self.came_back |= self.failures >= FAILURES;
                self.failures = 0;
                self.answered = Some(now);
            }
            Seen::Failed => {
                if self.failures == 0 {
                    self.first = now;
                }
                self.failures = self.failures.saturating_add(1);
                self.failed = now;
            }
        }
    }

    /// When something was last seen, ms.
    pub fn last(&self) -> u64 {
        self.failed.max(self.answered.unwrap_or_default())
    }

    /// When a call last failed, if none was answered since; 0 otherwise.
    pub fn failed_at(&self) -> u64 {
        if self.failures > 0 { self.failed } else { 0 }
    }

    /// Down, back, or nothing to tell.
    pub fn verdict(&self) -> Option<Word> {
        if self.failures >= FAILURES {
            return Some(Word { last: self.failed, first: self.first, back: false });
        }
        let answered = self.answered.filter(|_| self.came_back && self.failures == 0)?;
        Some(Word { last: answered, first: answered, back: true })
    }

    /// Whether a judgement that began then is refuted by a good answer since, and nothing that failed after it.
    pub fn outweighs(&self, began: u64) -> bool {
        self.failures == 0 && self.answered.is_some_and(|answered| answered >= began)
    }

    pub fn is_fresh(&self, now: u64) -> bool {
        self.last().saturating_add(KEPT) > now
    }
}
