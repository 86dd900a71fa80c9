//! The results of this sender's own calls to one receiver.

use rudderspindle_clock::UnixMillis;

use super::vote::{CallResult, Vote};

/// Number of consecutive failures after which a sender votes a receiver down. One is not enough, because single calls fail
/// by chance.
const MIN_CONSECUTIVE_FAILURES: u32 = 2;
/// Time for which a history is stored after the last call, in milliseconds.
const HISTORY_TTL: u64 = 60_000;

/// The recent calls to one receiver.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallHistory {
    /// Number of failed calls since the last answered one.
    consecutive_failures: u32,
    /// When the first of the consecutive failures was recorded.
    first_failure: UnixMillis,
    /// When a call last failed.
    last_failure: UnixMillis,
    /// When a call was last answered.
    last_answer: Option<UnixMillis>,
    /// Whether the receiver has ever recovered: it answered a call after it had been down.
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

    /// When the result of a call was last recorded.
    pub fn last_call(&self) -> UnixMillis {
        self.last_failure.max(self.last_answer.unwrap_or_default())
    }

    /// When a call last failed; [`UnixMillis::EPOCH`] if no call failed, or one was answered since.
    pub fn unanswered_failure(&self) -> UnixMillis {
        if self.consecutive_failures > 0 { self.last_failure } else { UnixMillis::EPOCH }
    }

    /// This sender's vote on the receiver: that it is down, or that it recovered. `None` if the receiver was never down, or
    /// if exactly one call failed since the last answer.
    pub fn vote(&self) -> Option<Vote> {
        if self.is_down() {
            return Some(Vote {
                last_observed_at: self.last_failure,
                first_observed_at: self.first_failure,
                recovered: false,
            });
        }
        let answer = self.last_answer.filter(|_| self.recovered && self.consecutive_failures == 0)?;
        Some(Vote { last_observed_at: answer, first_observed_at: answer, recovered: true })
    }

    /// Whether the last call was answered at or after `first_failure`. This refutes a vote that the receiver is down whose
    /// first failure was recorded at that time.
    pub fn refutes(&self, first_failure: UnixMillis) -> bool {
        self.consecutive_failures == 0 && self.last_answer.is_some_and(|answer| answer >= first_failure)
    }

    /// Whether the last call was recorded within [`HISTORY_TTL`] before `now`.
    pub fn is_fresh(&self, now: UnixMillis) -> bool {
        self.last_call().saturating_add(HISTORY_TTL) > now
    }

    fn is_down(&self) -> bool {
        self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
    }
}
