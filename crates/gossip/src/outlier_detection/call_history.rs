//! The results of this sender's own calls to one receiver.

use rudderspindle_clock::UnixMillis;

use super::vote::{CallResult, Vote};

/// Number of consecutive failures after which a sender votes a receiver down; single calls fail by chance.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;
/// How long a history is kept after the last call, in milliseconds.
const HISTORY_TTL: u64 = 60_000;

/// The recent calls to one receiver.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallHistory {
    /// Failures since the last answer.
    consecutive_failures: u32,
    /// When the first of them was recorded.
    first_failure: UnixMillis,
    /// When a call last failed.
    last_failure: UnixMillis,
    last_answer: Option<UnixMillis>,
    /// Whether the receiver was down before the last answer.
    recovered: bool,
}

impl CallHistory {
    pub fn record(&mut self, now: UnixMillis, result: CallResult) {
        match result {
            CallResult::Answered => {
                self.recovered |= self.is_down();
                self.consecutive_failures = 0;
                self.last_answer = Some(now);
            }
            CallResult::Failed => {
                if self.consecutive_failures == 0 {
                    self.first_failure = now;
                }
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.last_failure = now;
            }
        }
    }

    /// When a call last finished.
    pub fn last_call(&self) -> UnixMillis {
        self.last_failure.max(self.last_answer.unwrap_or_default())
    }

    /// When a call last failed, if none was answered since; [`UnixMillis::EPOCH`] otherwise.
    pub fn unanswered_failure(&self) -> UnixMillis {
        if self.consecutive_failures > 0 { self.last_failure } else { UnixMillis::EPOCH }
    }

    /// This sender's vote, if it has one.
    pub fn vote(&self) -> Option<Vote> {
        if self.is_down() {
            return Some(Vote { last: self.last_failure, first: self.first_failure, recovered: false });
        }
        let answer = self.last_answer.filter(|_| self.recovered && self.consecutive_failures == 0)?;
        Some(Vote { last: answer, first: answer, recovered: true })
    }

    /// Whether the last call was answered, after `began`: this refutes a vote on failures that began then.
    pub fn refutes(&self, began: UnixMillis) -> bool {
        self.consecutive_failures == 0 && self.last_answer.is_some_and(|answer| answer >= began)
    }

    pub fn is_fresh(&self, now: UnixMillis) -> bool {
        self.last_call().saturating_add(HISTORY_TTL) > now
    }

    fn is_down(&self) -> bool {
        self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
    }
}
