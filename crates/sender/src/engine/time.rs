//! Conversions between [`Duration`] and the policy's [`Millis`].

use std::time::Duration;

use rudderspindle_policy::interface::Millis;

/// Converts a span of the policy; a negative one counts as zero.
pub(super) fn from_millis(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// Converts a span to the policy's unit.
pub(super) fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1_000.0
}
