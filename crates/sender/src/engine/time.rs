//! Conversions between [`Duration`] and the policy's [`Millis`].

use std::time::Duration;

use rudderspindle_policy::interface::Millis;

/// Converts milliseconds to a duration; negative values become zero.
pub(super) fn from_millis(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Converts a duration to milliseconds.
pub(super) fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1_000.0
}
