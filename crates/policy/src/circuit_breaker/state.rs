//! The states of a circuit breaker.

use crate::interface::Millis;

/// The state of a circuit breaker. Half-open is the state `Open` once `probe_at` is reached.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum BreakerState {
    /// Calls are limited by the throttle only.
    #[default]
    Closed,
    /// No call starts except one half-open probe at a time.
    Open {
        /// When the breaker opened.
        since: Millis,
        /// When the next probe may start.
        probe_at: Millis,
        /// Whether the breaker opened because of overdue calls, without a failure. The success of any call
        /// then ends the outage.
        unresponsive: bool,
    },
    /// Calls are limited by the recovery ramp.
    SlowStart {
        /// When the recovery ramp begins.
        since: Millis,
        /// This sender's share of the recovery ramp, from 0 to 1.
        sender_share: f64,
    },
}
