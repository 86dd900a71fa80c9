//! Probes of a destination in an outage, and the recovery ramp that limits its calls in slow start.

use crate::context::Context;
use crate::interface::{Millis, RateHint, Settings};

/// The part of the overload multiple that the recovery ramp uses.
const RAMP_SHARE: f64 = 0.66;
/// Factor by which limits may be wrong, and by which the ramp is lower, where listed limits are rough.
const ROUGH_RATE_MARGIN: f64 = 1.5;
/// Minimum mean pause between probes, in ms.
const MIN_PROBE_PAUSE: Millis = 400.0;
/// Mean pause between probes, in calls at this sender's share of the limit, as rejected probes may count
/// there. In a fleet it is longer, up to the start of the ramp: probes alone could overload the destination.
const PROBE_PAUSE_CALLS: f64 = 2.0;
/// Maximum time over which probes are spread after a Retry-After, in ms.
const MAX_PROBE_SPREAD: Millis = 2_000.0;

/// What limits the calls of this sender to a destination in an outage and in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecoveryLimits {
    /// The limit, in calls per second of all senders together.
    pub limit: f64,
    /// This sender's share of the limit; the shares of all senders add up to one.
    pub share: f64,
    /// Number of circuit breakers that divide this sender's share in slow start.
    pub shared_by: usize,
    /// When the last Retry-After is over.
    pub retry_after_until: Millis,
}

impl RecoveryLimits {
    /// This sender's part of the limit, in calls per second.
    pub fn rate(&self) -> f64 {
        self.limit * self.share
    }

    /// When the next half-open probe may start: after `min_pause` at the earliest.
    pub fn next_probe_at(&self, context: &mut Context, min_pause: Millis) -> Millis {
        let fleet_scale = context.settings.fleet_scale();
        // The pause with which all senders together keep to the start of the ramp.
        let ramp_pause = 1_000.0 / (self.rate() * context.settings.ramp(0.0));
        if self.retry_after_until > context.now {
            // All senders with the same Retry-After return when it is over: they spread their probes, and
            // together exceed the start of the ramp by little.
            let spread = ramp_pause.min(MAX_PROBE_SPREAD * fleet_scale);
            return self.retry_after_until + spread * context.rng.unit();
        }
        let pause = PROBE_PAUSE_CALLS * fleet_scale * 1_000.0 / self.rate();
        let mean_pause = pause.min(ramp_pause * RAMP_SHARE).max(MIN_PROBE_PAUSE);
        context.now + context.rng.pause(mean_pause).max(min_pause)
    }

    /// When the next call of slow start may start: once the ramp has allowed `draw` calls since `from`, or it
    /// is over.
    pub fn next_slow_start_call_at(
        &self,
        settings: &Settings,
        since: Millis,
        from: Millis,
        draw: f64,
    ) -> Millis {
        let rate_per_ms = self.rate() / self.shared_by as f64 / 1_000.0;
        let allowed = |after: Millis| rate_per_ms * settings.ramp(after);
        let duration = settings.recovery_duration;
        // Only the first pause is long enough for the rate to grow meanwhile.
        let growth = if from > since { 0.0 } else { (allowed(duration) - allowed(0.0)) / duration.max(1.0) };
        let rate = allowed(from - since);
        let pause = 2.0 * draw / (rate + (rate * rate + 2.0 * growth * draw).sqrt());
        (from + pause).min(since + duration)
    }
}

impl Settings {
    /// The multiple of its limit that all senders together may send to a destination, this long after its
    /// recovery began.
    pub fn ramp(&self, since_recovery: Millis) -> f64 {
        let start = self.recovery_start_share;
        let recovered = start + (1.0 - start) * self.recovery_progress(since_recovery);
        RAMP_SHARE * self.overload_multiple / self.rate_uncertainty() * recovered
    }

    /// How far a destination has recovered this long after its recovery began: from 0 to 1.
    pub(crate) fn recovery_progress(&self, since_recovery: Millis) -> f64 {
        (since_recovery / self.recovery_duration.max(1.0)).clamp(0.0, 1.0)
    }

    /// The factor by which listed limits may be wrong.
    pub(crate) fn rate_uncertainty(&self) -> f64 {
        if self.rate_hint == RateHint::Rough { ROUGH_RATE_MARGIN } else { 1.0 }
    }
}
