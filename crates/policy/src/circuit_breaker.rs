//! The circuit breaker of a route, or of all routes that share a limit.
//!
//! An outage has the same scope as the limit. Where routes have limits of their own, each route has one
//! [`CircuitBreaker`]. Where routes share a limit, the destination has one more, the shared breaker: an
//! outage that a rejection indicates, or that affects most routes, concerns the whole destination, so there
//! is one half-open probe and one recovery ramp for all routes. The breaker of each route detects when a
//! single route fails while the others are healthy.
//!
//! | from | on | to |
//! | --- | --- | --- |
//! | closed, slow start | a rejection that indicates an outage, or too many consecutive failures | open |
//! | closed, slow start | overdue calls, with no answer received since they were sent | open, unresponsive |
//! | closed, slow start | many errors among the answers | slow start, from its beginning |
//! | open | `probe_at` is reached | half-open: one call may start |
//! | half-open | the probe starts | open, with a later `probe_at` |
//! | open | failure of a call sent since it opened, or a rejection as above | open, new `probe_at` |
//! | open | success of a call sent since it opened; if unresponsive, of any call | slow start |
//! | slow start | a call starts after the end of the recovery ramp | closed |
//! | any | an outage from before a restart is restored | open, or slow start |
//! | any, of a route | failures or overdue calls change the shared breaker | closed |
//!
//! In other states than closed, results of calls that were sent before the state began are not counted. The
//! shared breaker changes its state on failures and errors only if most routes are degraded, or if few
//! failures are enough to open it.

mod outage_report;
mod recovery;
mod state;

pub(crate) use recovery::RecoveryLimits;

use crate::context::Context;
use crate::interface::{Millis, OutageState, Outcome};
use outage_report::OutageReport;
use state::BreakerState;

/// Weight of the newest answer in the error rate.
const ERROR_WEIGHT: f64 = 0.25;
/// Error rate, from 0 to 1, above which a breaker has many errors.
const MAX_ERROR_RATE: f64 = 0.45;
/// Error rate above which a breaker in slow start has many errors: two errors among a few answers exceed it.
const MAX_SLOW_START_ERROR_RATE: f64 = 0.3;
/// Error rate above which recent calls count as failed: about one of the last four answers was an error.
const RECENT_ERROR_RATE: f64 = 0.1;

/// The state of a circuit breaker, with the failures and error rate that change the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
    /// When the next call of slow start may start; not used in other states.
    next_call_at: Millis,
    /// When the last answer was received; 0 if there was none.
    last_answer_at: Millis,
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// Exponential moving average of the errors among answers, from 0 to 1.
    error_rate: f64,
    outage_report: OutageReport,
}

/// Queries of the state.
impl CircuitBreaker {
    pub fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Whether the breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    pub fn is_in_slow_start(&self) -> bool {
        matches!(self.state, BreakerState::SlowStart { .. })
    }

    /// Whether a call has failed since the last success.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether at least this number of consecutive calls have failed.
    pub fn has_failed(&self, times: f64) -> bool {
        f64::from(self.consecutive_failures) >= times
    }

    /// Whether about half of the answers, or in slow start about a third, are errors.
    pub fn has_many_errors(&self) -> bool {
        let max_error_rate = if self.is_in_slow_start() { MAX_SLOW_START_ERROR_RATE } else { MAX_ERROR_RATE };
        self.error_rate > max_error_rate
    }

    /// Whether the breaker is not closed, or recent calls have failed.
    pub fn is_degraded(&self) -> bool {
        self.is_failing() || self.error_rate > RECENT_ERROR_RATE || !self.is_closed()
    }

    /// Whether the result of a call sent at `sent_at` counts in the current state.
    pub fn counts_call_sent_at(&self, sent_at: Millis) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { since, .. } | BreakerState::SlowStart { since, .. } => sent_at >= since,
        }
    }

    /// Whether the success of a call sent at `sent_at` ends the outage.
    pub fn is_outage_ended_by(&self, sent_at: Millis) -> bool {
        match self.state {
            BreakerState::Open { since, unresponsive, .. } => unresponsive || sent_at >= since,
            BreakerState::Closed | BreakerState::SlowStart { .. } => false,
        }
    }

    /// When the next call may start; negative infinity while the breaker is closed.
    pub fn next_call_at(&self) -> Millis {
        match self.state {
            BreakerState::Closed => f64::NEG_INFINITY,
            BreakerState::Open { probe_at, .. } => probe_at,
            BreakerState::SlowStart { .. } => self.next_call_at,
        }
    }

    /// When the last answer was received; 0 if there was none.
    pub fn last_answer_at(&self) -> Millis {
        self.last_answer_at
    }
}

/// Outage reports to the host.
impl CircuitBreaker {
    /// The outage state that the host has to persist, if it has changed since the last report.
    pub fn unreported_outage(&mut self, now: Millis, retry_after_until: Millis) -> Option<OutageState> {
        self.outage_report.update(now, self.state, retry_after_until)
    }
}

/// Counting of the results of calls.
impl CircuitBreaker {
    /// Records that an answer to a call was received.
    pub fn record_answer(&mut self, now: Millis) {
        self.last_answer_at = now;
    }

    /// Counts the result of a call. A rejection because of the limit must not be counted here.
    pub fn record_result(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.error_rate += ERROR_WEIGHT * (0.0 - self.error_rate),
            Outcome::Error => self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate),
            _ => {}
        }
        if outcome == Outcome::Ok {
            self.consecutive_failures = 0;
        } else {
            self.consecutive_failures += 1;
        }
    }
}

/// Transitions of the state.
impl CircuitBreaker {
    /// Closes the breaker, and clears failures and the error rate.
    pub fn reset(&mut self) {
        *self = Self {
            last_answer_at: self.last_answer_at,
            outage_report: self.outage_report,
            ..Self::default()
        };
    }

    /// Opens the breaker after failures, or keeps it open; the next probe starts after `min_pause` at the
    /// earliest.
    pub fn open(&mut self, context: &mut Context, limits: &RecoveryLimits, min_pause: Millis) {
        let probe_at = limits.next_probe_at(context, min_pause);
        self.set_open(context.now, probe_at, false);
    }

    /// Opens the breaker because calls are overdue.
    pub fn open_unresponsive(&mut self, context: &mut Context, limits: &RecoveryLimits) {
        let probe_at = limits.next_probe_at(context, 0.0);
        self.set_open(context.now, probe_at, true);
    }

    fn set_open(&mut self, now: Millis, probe_at: Millis, unresponsive: bool) {
        self.state = match self.state {
            BreakerState::Open { since, unresponsive, .. } => {
                BreakerState::Open { since, probe_at, unresponsive }
            }
            _ => BreakerState::Open { since: now, probe_at, unresponsive },
        };
    }

    /// Starts or restarts slow start. The recovery ramp begins at `since`; the call sent at `sent_at` counts
    /// as its first call.
    pub fn begin_slow_start(
        &mut self,
        context: &mut Context,
        limits: &RecoveryLimits,
        since: Millis,
        sent_at: Millis,
    ) {
        let drawn_calls = context.rng.pause(1.0);
        let next_call_at = limits.next_slow_start_call_at(&context.settings, since, sent_at, drawn_calls);
        self.enter_slow_start(since, limits.sender_share, next_call_at);
    }

    /// Resumes a slow start from before a restart. The restart is assumed to have happened at a random time
    /// between two calls.
    pub fn restore_slow_start(
        &mut self,
        context: &mut Context,
        limits: &RecoveryLimits,
        since: Millis,
        sender_share: f64,
    ) {
        let drawn_calls = context.rng.unit();
        let next_call_at = limits.next_slow_start_call_at(&context.settings, since, context.now, drawn_calls);
        self.enter_slow_start(since, sender_share, next_call_at);
    }

    /// Enters slow start, with a ramp that begins at `since`. Unless slow start is in progress, no call
    /// starts before `next_call_at`.
    fn enter_slow_start(&mut self, since: Millis, sender_share: f64, next_call_at: Millis) {
        let earliest = if self.is_in_slow_start() { since } else { since.max(next_call_at) };
        self.state = BreakerState::SlowStart { since, sender_share };
        self.next_call_at = self.next_call_at.max(earliest);
    }

    /// Records that a call starts: schedules the next probe or slow-start call, and closes the breaker if the
    /// ramp has ended.
    ///
    /// `min_pause` is the time after which the call is overdue, so that one probe at a time is in flight.
    pub fn record_call(&mut self, context: &mut Context, limits: &RecoveryLimits, min_pause: Millis) {
        match self.state {
            BreakerState::Closed => {}
            BreakerState::Open { .. } => self.open(context, limits, min_pause),
            BreakerState::SlowStart { since, .. } => {
                let now = context.now;
                let drawn_calls = context.rng.pause(1.0);
                self.next_call_at =
                    limits.next_slow_start_call_at(&context.settings, since, now, drawn_calls);
                if context.settings.recovery_progress(now - since) >= 1.0 {
                    self.state = BreakerState::Closed;
                }
            }
        }
    }
}
