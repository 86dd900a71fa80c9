//! Tests the estimate after rejections, during an outage and the recovery from it, and after failures that are not an
//! outage.

use super::{LimitEstimate, RecoveryRamp};
use crate::load_totals::Load;

const RAMP: RecoveryRamp = RecoveryRamp { initial_fraction: 0.28, growth_per_s: 0.15 };

#[test]
fn a_few_rejections_reduce_the_rate_little() {
    let mut estimate = LimitEstimate::default();
    let load = Load { demand: 100.0, calls: 95.0, ..Load::default() };
    estimate.update(100.0, &load, 0.25, RAMP);
    let rate = estimate.update(100.0, &Load { rejected: 5.0, ..load }, 0.25, RAMP);
    assert!(rate > 0.88, "rate per call {rate} after one call in nineteen was rejected");
}

/// The issued rate after each of `totals`, which are applied at intervals of 0.25 s to a limit of 100 calls a second.
fn issued_rates(estimate: &mut LimitEstimate, totals: &[Load]) -> Vec<f64> {
    let rounded = |rate: f64| (rate * 1e6).round() / 1e6;
    let rate = |totals: &Load| estimate.update(100.0, totals, 0.25, RAMP) * totals.demand;
    totals.iter().map(rate).map(rounded).collect()
}

#[test]
fn an_outage_reduces_the_rate_and_a_recovery_raises_it_gradually() {
    let healthy = Load { demand: 200.0, calls: 90.0, ..Load::default() };
    let down = Load { failed: 80.0, ..healthy };
    let mut estimate = LimitEstimate::default();
    assert_eq!(issued_rates(&mut estimate, &[healthy, down, down])[1..], [28.0, 28.0]);
    // Without calls, the recovery of the destination is not detected.
    assert_eq!(issued_rates(&mut estimate, &[Load { calls: 0.0, ..healthy }]), [28.0]);
    let recovering = issued_rates(&mut estimate, &[healthy; 30]);
    for (quarter_seconds, rate) in (1..).zip(recovering) {
        let expected: f64 = 28.0 + 15.0 * f64::from(quarter_seconds) / 4.0;
        assert!(
            (rate - expected.min(95.0)).abs() < 1e-9,
            "rate {rate} after {quarter_seconds} quarter seconds"
        );
    }
}

/// One endpoint fails among healthy ones, or there are only a few calls.
#[test]
fn partial_or_few_failures_are_not_an_outage() {
    let partly_failing = Load { demand: 200.0, calls: 90.0, failed: 60.0, ..Load::default() };
    let two_failed_calls = Load { demand: 200.0, calls: 2.0, failed: 2.0, ..Load::default() };
    let mut estimate = LimitEstimate::default();
    for totals in [[partly_failing; 8].as_slice(), &[two_failed_calls; 4]] {
        assert!(issued_rates(&mut estimate, totals).iter().all(|rate| *rate == 95.0), "{totals:?}");
    }
}
