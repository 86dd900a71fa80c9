//! The state of a circuit breaker, what it counts, and what of it the host must remember. No decision.

use crate::interface::{Millis, OutageState, Outcome};

/// Weight of the newest answer in the error rate.
const ERROR_WEIGHT: f64 = 0.25;

/// What is believed of a route, or of all routes that share a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum BreakerState {
    /// Calls go as the throttle lets them.
    #[default]
    Closed,
    /// Nothing goes but one half-open probe at a time.
    Open {
        /// When the next probe may go.
        probe_at: Millis,
        /// Since when: the outcomes of calls sent earlier say nothing new.
        since: Millis,
        /// Opened by overdue calls alone: any answer proves the return.
        silent: bool,
    },
    /// It returned, or fails so much that it may have to: the recovery ramp bounds what it gets.
    SlowStart {
        /// Since when the ramp rises.
        since: Millis,
        /// Our share of the ramp.
        share: f64,
    },
}

/// Counts failures and errors, and keeps what is believed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CircuitBreaker {
    pub state: BreakerState,
    /// In slow start: when the next call may go.
    pub next_call_at: Millis,
    pub failing_since: Millis,
    pub last_answer_at: Millis,
    /// Failures since the last success.
    pub(super) consecutive_failures: u32,
    /// Smoothed share of errors among answers, from 0 to 1.
    pub(super) error_rate: f64,
    /// What the host was last told to remember.
    reported: ReportedOutage,
}

/// What identifies an outage that the host was told to remember.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ReportedOutage {
    #[default]
    Healthy,
    Down {
        since: Millis,
        retry_after_until: Millis,
    },
    WarmingUp {
        since: Millis,
    },
}

impl CircuitBreaker {
    /// Whether it is open, or half-open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    /// Whether it is in slow start.
    pub fn is_in_slow_start(&self) -> bool {
        matches!(self.state, BreakerState::SlowStart { .. })
    }

    /// Whether a call has failed since the last success.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Closes it and forgets failures and errors.
    pub fn reset(&mut self) {
        *self = Self { last_answer_at: self.last_answer_at, reported: self.reported, ..Self::default() };
    }

    /// The outage to remember over a restart, if it has changed since the last report.
    pub fn unreported_outage(&mut self, now: Millis, retry_after_until: Millis) -> Option<OutageState> {
        let (report, outage) = match self.state {
            BreakerState::Closed => (ReportedOutage::Healthy, OutageState::Healthy),
            BreakerState::Open { since, .. } => (
                ReportedOutage::Down { since, retry_after_until },
                OutageState::Down { retry_after_remaining: (retry_after_until - now).max(0.0) },
            ),
            BreakerState::SlowStart { since, share } => (
                ReportedOutage::WarmingUp { since },
                OutageState::WarmingUp { since_recovery: now - since, ramp_share: share },
            ),
        };
        let reported_before = std::mem::replace(&mut self.reported, report);
        (reported_before != report).then_some(outage)
    }

    /// Counts the outcome of a call, other than a rejection above the limit.
    pub fn record(&mut self, sent_at: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.error_rate += ERROR_WEIGHT * (0.0 - self.error_rate),
            Outcome::Error => self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate),
            _ => {}
        }
        if outcome == Outcome::Ok {
            self.consecutive_failures = 0;
            return;
        }
        if self.consecutive_failures == 0 {
            self.failing_since = sent_at;
        }
        self.consecutive_failures += 1;
    }

    /// Opens it, or keeps it open; it is half-open for one probe at `probe_at`.
    pub fn open(&mut self, now: Millis, probe_at: Millis, silent: bool) {
        self.state = match self.state {
            BreakerState::Open { since, silent, .. } => BreakerState::Open { probe_at, since, silent },
            _ => BreakerState::Open { probe_at, since: now, silent },
        };
    }
}
