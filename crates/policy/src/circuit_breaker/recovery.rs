//! Times of half-open probes during an outage, and the recovery ramp that limits calls in slow start.

use crate::context::Context;
use crate::interface::{Millis, RateHint, Settings};

/// Fraction of the overload multiple that the recovery ramp reaches at its end.
const RAMP_OVERLOAD_FRACTION: f64 = 0.66;
/// Factor by which rough listed limits may be wrong; the ramp is divided by it.
const ROUGH_RATE_MARGIN: f64 = 1.5;
/// Minimum of the mean pause between probes, in ms.
const MIN_PROBE_PAUSE: Millis = 400.0;
/// Mean pause between probes, as the number of calls that this sender's share of the limit allows in that
/// time. The pause is this long because rejected probes may count against the limit. In a fleet the pause is
/// longer, up to the pause at the start of the ramp, because the probes of all senders could overload the
/// destination.
const PROBE_PAUSE_CALLS: f64 = 2.0;
/// Maximum time over which probes are spread after a Retry-After, in ms; multiplied by the scale of the
/// fleet.
const MAX_PROBE_SPREAD: Millis = 2_000.0;

/// The limits on the calls of this sender during an outage and in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecoveryLimits {
    /// The limit on the calls of all senders together, in calls per second.
    pub limit: f64,
    /// This sender's share of the limit, from 0 to 1; the shares of all senders add up to 1.
    pub sender_share: f64,
    /// Number of circuit breakers among which this sender's share is divided in slow start.
    pub sharing_breakers: usize,
    /// When the last Retry-After ends.
    pub retry_after_until: Millis,
}

impl RecoveryLimits {
    /// This sender's share of the limit, in calls per second.
    pub fn sender_rate(&self) -> f64 {
        self.limit * self.sender_share
    }

    /// Draws when the next half-open probe may start; after `min_pause` at the earliest, unless a Retry-After
    /// sets the time.
    pub fn next_probe_at(&self, context: &mut Context, min_pause: Millis) -> Millis {
        let fleet_scale = context.settings.fleet_scale();
        // With this pause between calls, all senders together send at the rate of the start of the ramp.
        let ramp_pause = 1_000.0 / (self.sender_rate() * context.settings.ramp(0.0));
        if self.retry_after_until > context.now {
            // All senders with the same Retry-After resume when it ends. Their probes are spread, so that the
            // rate of all probes exceeds the rate at the start of the ramp only slightly.
            let spread = ramp_pause.min(MAX_PROBE_SPREAD * fleet_scale);
            return self.retry_after_until + spread * context.rng.unit();
        }
        let pause = PROBE_PAUSE_CALLS * fleet_scale * 1_000.0 / self.sender_rate();
        let mean_pause = pause.min(ramp_pause * RAMP_OVERLOAD_FRACTION).max(MIN_PROBE_PAUSE);
        context.now + context.rng.pause(mean_pause).max(min_pause)
    }

    /// When the next call of slow start may start: once the ramp has allowed `drawn_calls` calls since
    /// `from`, at the latest when the ramp ends. The ramp begins at `since`.
    pub fn next_slow_start_call_at(
        &self,
        settings: &Settings,
        since: Millis,
        from: Millis,
        drawn_calls: f64,
    ) -> Millis {
        let rate_per_ms = self.sender_rate() / self.sharing_breakers as f64 / 1_000.0;
        let rate_at = |after: Millis| rate_per_ms * settings.ramp(after);
        let duration = settings.recovery_duration;
        // Only the first pause is so long that the increase of the rate during the pause matters.
        let rate_growth =
            if from > since { 0.0 } else { (rate_at(duration) - rate_at(0.0)) / duration.max(1.0) };
        let rate = rate_at(from - since);
        let pause = 2.0 * drawn_calls / (rate + (rate * rate + 2.0 * rate_growth * drawn_calls).sqrt());
        (from + pause).min(since + duration)
    }
}

impl Settings {
    /// The recovery ramp: the multiple of a destination's limit that all senders together may send to it,
    /// this long after its recovery began.
    pub fn ramp(&self, since_recovery: Millis) -> f64 {
        let start = self.recovery_start_share;
        let recovered = start + (1.0 - start) * self.recovery_progress(since_recovery);
        RAMP_OVERLOAD_FRACTION * self.overload_multiple / self.rate_uncertainty() * recovered
    }

    /// Progress of a destination's recovery, from 0 to 1, this long after the recovery began.
    pub(crate) fn recovery_progress(&self, since_recovery: Millis) -> f64 {
        (since_recovery / self.recovery_duration.max(1.0)).clamp(0.0, 1.0)
    }

    /// The factor by which listed limits may be wrong; 1 if they are exact.
    pub(crate) fn rate_uncertainty(&self) -> f64 {
        if self.rate_hint == RateHint::Rough { ROUGH_RATE_MARGIN } else { 1.0 }
    }
}
