//! The circuit breaker of a route, or of all routes that share a limit: closed, open, half-open, slow start.
//!
//! The scope of an outage is that of the limit. Where routes have limits of their own, each has one
//! [`CircuitBreaker`]. Where they share a limit there is one more, of all of them: an outage that a rejection
//! shows, or that most routes show, is the destination's, so there is one half-open probe and one recovery
//! ramp, whichever route is used. Its state goes before that of a route, which still shows when a single
//! route fails beside healthy ones.

mod state;

pub(crate) use state::{BreakerState, CircuitBreaker};

use crate::interface::Millis;

/// An error rate above this is like the one after an outage.
const MAX_ERROR_RATE: f64 = 0.45;
/// In slow start, an error rate above this shows that it has not recovered: two errors among a few answers.
const MAX_SLOW_START_ERROR_RATE: f64 = 0.3;
/// An error rate above this shows an error among the last four answers or so.
const RECENT_ERROR_RATE: f64 = 0.1;

impl CircuitBreaker {
    /// Whether at least this many calls in a row have failed.
    pub fn has_failed(&self, times: f64) -> bool {
        f64::from(self.consecutive_failures) >= times
    }

    /// Whether about half of the answers are errors, or some in slow start.
    pub fn has_many_errors(&self) -> bool {
        let max_error_rate = if self.is_in_slow_start() { MAX_SLOW_START_ERROR_RATE } else { MAX_ERROR_RATE };
        self.error_rate > max_error_rate
    }

    /// Whether anything is wrong with it, be it little.
    pub fn is_impaired(&self) -> bool {
        self.is_failing() || self.error_rate > RECENT_ERROR_RATE || self.state != BreakerState::Closed
    }

    /// Whether the outcome of a call that was sent then says anything about the present state.
    pub fn is_concerned_by(&self, sent_at: Millis) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { since, .. } | BreakerState::SlowStart { since, .. } => sent_at >= since,
        }
    }

    /// Whether a success of a call that was sent then proves that an outage has ended.
    pub fn is_return_proven_by(&self, sent_at: Millis) -> bool {
        match self.state {
            BreakerState::Open { since, silent, .. } => silent || sent_at >= since,
            BreakerState::Closed | BreakerState::SlowStart { .. } => false,
        }
    }

    /// Begins slow start, or begins it anew: no call goes before `since`, nor before `next_call_at` at first.
    pub fn begin_slow_start(&mut self, since: Millis, share: f64, next_call_at: Millis) {
        let earliest = if self.is_in_slow_start() { since } else { since.max(next_call_at) };
        self.state = BreakerState::SlowStart { since, share };
        self.next_call_at = self.next_call_at.max(earliest);
    }
}
