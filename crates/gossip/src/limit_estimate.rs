//! Estimates the fraction of a limit that the destination accepts, and divides the resulting rate by the fleet's
//! demand.
//!
//! Senders that receive the same totals compute the same estimate.

use crate::load_totals::Load;

/// Multiplier of accepted calls in the formula of client-side throttling. The policy uses the same value.
const ACCEPT_MULTIPLIER: f64 = 1.5;
/// Minimum fraction of the calls that throttling does not reject, so that a recovery is detected.
const MIN_PASS_FRACTION: f64 = 0.15;
/// Fraction of a limit that is issued while no calls are rejected; it is below 1 because the calls of many senders are
/// not evenly spaced.
const MAX_ISSUED_FRACTION: f64 = 0.95;
/// Minimum factor by which a single update reduces the accepted fraction.
const MIN_REDUCTION_FACTOR: f64 = 0.7;
/// Growth of the accepted fraction per second without rejections.
const GROWTH_PER_S: f64 = 0.1;
/// Lower bound of the accepted fraction.
const MIN_ACCEPTED_FRACTION: f64 = 0.2;
/// Maximum fraction of rejected calls at which the accepted fraction is not reduced, because so few rejections are
/// considered noise.
const MAX_NOISE_FRACTION: f64 = 0.02;
/// Number of failures that indicate an outage, if fewer calls between them were answered than
/// [`OUTAGE_FAILURE_FRACTION`] allows.
const OUTAGE_FAILURES: f64 = 4.0;
/// Minimum fraction of failed calls at which the destination counts as failing. If only one endpoint fails among healthy
/// ones, the fraction is lower.
const OUTAGE_FAILURE_FRACTION: f64 = 0.8;
/// Rejections are ignored if the calls exceed the issued rate by more than this factor, because some of the calls were then
/// started under an earlier rate.
const MAX_EXCESS_FACTOR: f64 = 1.15;

/// The fraction of a destination's limit that all senders together use during an outage and the recovery from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryRamp {
    /// Fraction of the limit during the outage and at the start of the recovery.
    pub initial_fraction: f64,
    /// Growth of that fraction during the recovery, per second.
    pub growth_per_s: f64,
}

/// The estimate for one limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitEstimate {
    /// Estimated fraction of the announced limit that the destination accepts. It is estimated because destinations do
    /// not announce reductions.
    accepted_fraction: f64,
    /// Rate for all senders together that was computed from the last totals, in calls a second.
    issued_rate: f64,
    /// Whether the last totals showed rejections.
    is_rejecting: bool,
    /// Number of failed calls at all senders since the last update in which the destination was called and did not count
    /// as failing.
    failures: f64,
    /// Fraction of the limit that the recovery ramp allows. It is infinite before the first outage.
    recovery_fraction: f64,
}

impl Default for LimitEstimate {
    fn default() -> Self {
        Self {
            accepted_fraction: MAX_ISSUED_FRACTION,
            issued_rate: f64::INFINITY,
            is_rejecting: false,
            failures: 0.0,
            recovery_fraction: f64::INFINITY,
        }
    }
}

impl LimitEstimate {
    /// The issued rate as a fraction of the maximum rate that can be issued for the limit, from 0 to 1.
    pub fn available_fraction(&self, limit: f64) -> f64 {
        (self.issued_rate / (limit * MAX_ISSUED_FRACTION)).clamp(0.0, 1.0)
    }

    /// Updates the estimate with the totals of all senders, `elapsed_s` seconds after the last update. Returns the rate
    /// for each call in demand, in calls a second.
    ///
    /// The issued rate is the limit times the lower of the accepted fraction and the recovery ramp's fraction. It is reduced
    /// by the fraction of calls that client-side throttling rejects, computed from the calls and the accepted calls of all
    /// senders.
    pub fn update(&mut self, limit: f64, totals: &Load, elapsed_s: f64, ramp: RecoveryRamp) -> f64 {
        self.update_accepted_fraction(totals, elapsed_s);
        self.update_recovery(totals, elapsed_s, ramp);
        let fraction = self.accepted_fraction.min(self.recovery_fraction);
        self.issued_rate = limit * fraction * (1.0 - throttled_fraction(totals));
        self.issued_rate / totals.demand.max(f64::MIN_POSITIVE)
    }

    /// Reduces the accepted fraction if calls were rejected although their rate did not exceed the issued rate, and
    /// increases it if rejections are within noise. Rejections of a burst above the issued rate are ignored.
    fn update_accepted_fraction(&mut self, totals: &Load, elapsed_s: f64) {
        let is_rejecting = totals.rejected > MAX_NOISE_FRACTION * totals.calls;
        if !is_rejecting {
            self.accepted_fraction =
                (self.accepted_fraction + GROWTH_PER_S * elapsed_s).min(MAX_ISSUED_FRACTION);
        } else if !self.is_rejecting && totals.calls <= MAX_EXCESS_FACTOR * self.issued_rate {
            let factor = (1.0 - totals.rejected / totals.calls).max(MIN_REDUCTION_FACTOR);
            self.accepted_fraction = (self.accepted_fraction * factor).max(MIN_ACCEPTED_FRACTION);
        }
        self.is_rejecting = is_rejecting;
    }

    /// Detects an outage by the failures of all senders, because a single sender makes too few calls.
    fn update_recovery(&mut self, totals: &Load, elapsed_s: f64, ramp: RecoveryRamp) {
        let is_failing = totals.failed > 0.0 && totals.failed >= OUTAGE_FAILURE_FRACTION * totals.calls;
        if is_failing {
            self.failures += totals.failed * elapsed_s;
        } else if totals.calls > 0.0 {
            self.failures = 0.0;
        }
        let is_down = self.failures >= OUTAGE_FAILURES;
        self.recovery_fraction = if is_down {
            ramp.initial_fraction
        } else {
            self.recovery_fraction + ramp.growth_per_s * elapsed_s
        };
    }
}

/// The fraction of the calls that client-side throttling rejects before they are sent.
fn throttled_fraction(totals: &Load) -> f64 {
    let accepted = (totals.calls - totals.rejected).max(0.0);
    let excess = totals.calls - ACCEPT_MULTIPLIER * accepted;
    (excess / (totals.calls + 1.0)).clamp(0.0, 1.0 - MIN_PASS_FRACTION)
}

#[cfg(test)]
mod tests;
