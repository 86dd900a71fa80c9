//! The estimate under rejections, an outage with its recovery, and failures that are no outage.

use super::{LimitEstimate, RecoveryRamp};
use crate::load_totals::Load;

const RAMP: RecoveryRamp = RecoveryRamp { initial_fraction: 0.28, growth_per_s: 0.15 };

#[test]
fn a_few_rejections_reduce_the_rate_little() {
    let mut estimate = LimitEstimate::default();
    let load = Load { demand: 100.0, calls: 95.0, ..Load::default() };
    estimate.update(100.0, &load, 0.25, RAMP);
    let after = estimate.update(100.0, &Load { rejected: 5.0, ..load }, 0.25, RAMP);
    assert!(after > 0.88, "{after} for each call after one in nineteen was rejected");
}

/// The issued rates at a limit of 100 calls a second after each of these totals, four a second.
fn issued_rates(estimate: &mut LimitEstimate, totals: &[Load]) -> Vec<f64> {
    let rounded = |rate: f64| (rate * 1e6).round() / 1e6;
    let rate = |totals: &Load| estimate.update(100.0, totals, 0.25, RAMP) * totals.demand;
    totals.iter().map(rate).map(rounded).collect()
}

#[test]
fn a_destination_that_fails_for_all_is_sent_little_until_it_answers_and_then_gradually_more() {
    let healthy = Load { demand: 200.0, calls: 90.0, ..Load::default() };
    let down = Load { failed: 80.0, ..healthy };
    let mut estimate = LimitEstimate::default();
    assert_eq!(issued_rates(&mut estimate, &[healthy, down, down])[1..], [28.0, 28.0]);
    // Without calls no recovery is detected.
    assert_eq!(issued_rates(&mut estimate, &[Load { calls: 0.0, ..healthy }]), [28.0]);
    let recovering = issued_rates(&mut estimate, &[healthy; 30]);
    for (quarter, rate) in (1..).zip(recovering) {
        let ramp: f64 = 28.0 + 15.0 * f64::from(quarter) / 4.0;
        assert!((rate - ramp.min(95.0)).abs() < 1e-9, "{rate} after {quarter} quarters of a second");
    }
}

#[test]
fn one_failing_endpoint_beside_healthy_ones_or_a_few_failed_calls_are_no_outage() {
    let half = Load { demand: 200.0, calls: 90.0, failed: 60.0, ..Load::default() };
    let two = Load { demand: 200.0, calls: 2.0, failed: 2.0, ..Load::default() };
    let mut estimate = LimitEstimate::default();
    for totals in [[half; 8].as_slice(), &[two; 4]] {
        assert!(issued_rates(&mut estimate, totals).iter().all(|rate| *rate == 95.0), "{totals:?}");
    }
}
