//! Estimates the fraction of a limit that the destination accepts, and divides the resulting rate by the fleet's demand.
//!
//! Senders that receive the same totals compute the same estimate.

use crate::load_totals::Load;

/// Multiplier of accepted calls in the formula of client-side throttling, as in the policy.
const ACCEPT_MULTIPLIER: f64 = 1.5;
/// Minimum fraction of the calls that throttling lets through, so that a recovery is detected.
const MIN_PASS_FRACTION: f64 = 0.15;
/// Fraction of a limit that is issued while nothing is rejected: the calls of many senders are not evenly spaced.
const MAX_ISSUED_FRACTION: f64 = 0.95;
/// Minimum factor of a single reduction of the accepted fraction.
const MIN_REDUCTION_FACTOR: f64 = 0.7;
/// Growth of the accepted fraction without rejections, per second.
const GROWTH_PER_S: f64 = 0.1;
/// Lower bound of the accepted fraction.
const MIN_ACCEPTED_FRACTION: f64 = 0.2;
/// Fraction of rejected calls up to which rejections are considered noise.
const MAX_CHANCE_REJECTIONS: f64 = 0.02;
/// Number of failures, with few answered calls between them, that indicate an outage.
const OUTAGE_FAILURES: f64 = 4.0;
/// Minimum fraction of failed calls in an outage; with one failing endpoint among healthy ones the fraction is lower.
const OUTAGE_FAILURE_FRACTION: f64 = 0.8;
/// Calls beyond this multiple of the issued rate were started under an earlier rate; their rejections are ignored.
const MAX_EXCESS_CALLS: f64 = 1.15;

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
    /// Estimated fraction of the announced limit that the destination accepts: it does not announce reductions.
    accepted_fraction: f64,
    /// Rate that was issued for the last totals, in calls a second.
    issued_rate: f64,
    /// Whether the last totals showed rejections.
    is_rejecting: bool,
    /// Failures at all senders since the last answered call.
    failures: f64,
    /// Fraction of the limit that the recovery ramp allows; infinite before the first outage.
    ramp_fraction: f64,
}

impl Default for LimitEstimate {
    fn default() -> Self {
        Self {
            accepted_fraction: MAX_ISSUED_FRACTION,
            issued_rate: f64::INFINITY,
            is_rejecting: false,
            failures: 0.0,
            ramp_fraction: f64::INFINITY,
        }
    }
}

impl LimitEstimate {
    /// The issued rate as a fraction of the maximum that is ever issued, from 0 to 1.
    pub fn available_fraction(&self, limit: f64) -> f64 {
        (self.issued_rate / (limit * MAX_ISSUED_FRACTION)).clamp(0.0, 1.0)
    }

    /// Updates the estimate with new totals, `elapsed_s` seconds after the last ones. Returns the rate for each call in
    /// demand, in calls a second.
    ///
    /// The issued rate is the limit, reduced to the accepted fraction and the recovery ramp, and further by client-side
    /// throttling over the calls and accepts of all senders.
    pub fn update(&mut self, limit: f64, totals: &Load, elapsed_s: f64, ramp: RecoveryRamp) -> f64 {
        self.update_accepted_fraction(totals, elapsed_s);
        self.update_ramp(totals, elapsed_s, ramp);
        let fraction = self.accepted_fraction.min(self.ramp_fraction);
        self.issued_rate = limit * fraction * (1.0 - throttled_fraction(totals));
        self.issued_rate / totals.demand.max(f64::MIN_POSITIVE)
    }

    /// Reduces the accepted fraction if calls were rejected although no more were made than issued. Rejections of a burst
    /// above the issued rate are ignored.
    fn update_accepted_fraction(&mut self, totals: &Load, elapsed_s: f64) {
        let is_rejecting = totals.rejected > MAX_CHANCE_REJECTIONS * totals.calls;
        if !is_rejecting {
            self.accepted_fraction =
                (self.accepted_fraction + GROWTH_PER_S * elapsed_s).min(MAX_ISSUED_FRACTION);
        } else if !self.is_rejecting && totals.calls <= MAX_EXCESS_CALLS * self.issued_rate {
            let factor = (1.0 - totals.rejected / totals.calls).max(MIN_REDUCTION_FACTOR);
            self.accepted_fraction = (self.accepted_fraction * factor).max(MIN_ACCEPTED_FRACTION);
        }
        self.is_rejecting = is_rejecting;
    }

    /// Detects an outage by the failures of all senders: a single sender makes too few calls.
    fn update_ramp(&mut self, totals: &Load, elapsed_s: f64, ramp: RecoveryRamp) {
        let is_failing = totals.failed > 0.0 && totals.failed >= OUTAGE_FAILURE_FRACTION * totals.calls;
        if is_failing {
            self.failures += totals.failed * elapsed_s;
        } else if totals.calls > 0.0 {
            self.failures = 0.0;
        }
        let is_down = self.failures >= OUTAGE_FAILURES;
        self.ramp_fraction =
            if is_down { ramp.initial_fraction } else { self.ramp_fraction + ramp.growth_per_s * elapsed_s };
    }
}

/// The fraction of the calls that client-side throttling holds back.
fn throttled_fraction(totals: &Load) -> f64 {
    let accepts = (totals.calls - totals.rejected).max(0.0);
    let excess = totals.calls - ACCEPT_MULTIPLIER * accepts;
    (excess / (totals.calls + 1.0)).clamp(0.0, 1.0 - MIN_PASS_FRACTION)
}

#[cfg(test)]
mod tests;
