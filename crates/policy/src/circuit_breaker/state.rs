//! The states of a circuit breaker.

use crate::interface::Millis;

/// The state of a circuit breaker; half-open is an open one whose `probe_at` is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum BreakerState {
    /// The throttle alone limits the calls.
    #[default]
    Closed,
    /// No call starts but one half-open probe at a time.
    Open {
        since: Millis,
        /// When the next probe may start.
        probe_at: Millis,
        /// Whether overdue calls opened it, without any failure: every success ends the outage.
        unresponsive: bool,
    },
    /// The recovery ramp limits the calls.
    SlowStart {
        /// When the ramp begins.
        since: Millis,
        /// This sender's share of the ramp.
        share: f64,
    },
}
