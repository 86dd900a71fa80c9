//! Scenarios of several senders in simulated time.

use std::collections::BTreeMap;

use rudderspindle_simulation::receiver::{AddedRoutes, Outage, Restart, Scenario, simulate};

use super::{messages, rejects_until, with_routes};
use crate::common::play_calls;

#[test]
fn senders_with_the_same_retry_after_do_not_probe_at_the_same_instant() {
    // Two senders, and a receiver of 10 calls per second that recovers with a fifth of it: the ramp begins at
    // 2.6 calls per second.
    let mut first = Vec::new();
    for seed in 0..40 {
        let mut harness = with_routes(1..=2, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let answer = rejects_until(returned_at);
        let calls = play_calls(&mut harness, messages(0..40), 12_000.0, &mut BTreeMap::new(), answer);
        first.extend(calls.iter().map(|call| call.at - returned_at).find(|&at| at >= 0.0));
    }
    first.sort_by(f64::total_cmp);
    assert_eq!(first.len(), 40, "each probed");
    // A share of a half: one call in 758 ms; probes are spread evenly over that.
    assert!(first[39] <= 790.0 && first[20] >= 200.0, "{first:?}");
    let together = first.windows(14).filter(|w| w[13] - w[0] < 100.0).count();
    assert_eq!(together, 0, "more than a third within a tenth of a second: {first:?}");
}

/// The highest load after the recovery in one scenario.
#[derive(Clone, Copy, Debug)]
struct WorstLoad {
    ratio: f64,
    seed: u64,
}

/// The loads after the recovery in random scenarios, as multiples of the receiver's capacity; the highest one
/// last.
fn overload_ratios(
    scenarios: u64,
    outage: fn(f64) -> Outage,
    change: impl Fn(&mut Scenario),
) -> Vec<WorstLoad> {
    let mut all: Vec<WorstLoad> = (0..scenarios)
        .map(|seed| {
            let mut scenario = Scenario::random(seed, outage);
            change(&mut scenario);
            WorstLoad { ratio: simulate(&scenario).peak_recovery_ratio, seed }
        })
        .collect();
    all.sort_by(|first, second| first.ratio.total_cmp(&second.ratio));
    all
}

/// At most 1.8 times the capacity of a recovering receiver, but for one scenario in fifty; never an overload.
fn assert_not_overloaded(what: &str, all: &[WorstLoad]) {
    let WorstLoad { ratio: worst, seed } = all[all.len() - 1];
    let usual = all[all.len() * 49 / 50].ratio;
    assert!(worst < 2.5, "{what}: {worst:.2} times what it can take overloads it (seed {seed})");
    assert!(usual <= 1.8, "{what}: {usual:.2} times what it can take in one scenario of fifty");
}

/// A kind of outage by name, drawn with a number from 0 to 1.
type OutageKind = (&'static str, fn(f64) -> Outage);

const OUTAGE_KINDS: [OutageKind; 6] = [
    ("long Retry-After", |_| Outage::RejectAll { retry_after_probability: 1.0 }),
    ("seldom a long Retry-After", |draw| Outage::RejectAll { retry_after_probability: draw * 0.56 }),
    ("rejections without Retry-After", |_| Outage::RejectAll { retry_after_probability: 0.0 }),
    ("refused connections", |_| Outage::RefuseConnections),
    ("errors", |draw| Outage::Errors { share: 0.6 + 0.36 * draw }),
    ("silent", |_| Outage::Unresponsive),
];

#[test]
fn a_returning_receiver_is_not_overloaded() {
    for (what, outage) in OUTAGE_KINDS {
        assert_not_overloaded(what, &overload_ratios(100, outage, |_| {}));
    }
}

#[test]
fn a_returning_receiver_is_not_overloaded_by_a_restarted_sender() {
    for (what, outage) in OUTAGE_KINDS {
        for after in [-2_000.0, 200.0, 1_500.0] {
            let restart = |scenario: &mut Scenario| {
                let killed_at = scenario.outage_end + after;
                scenario.restart = Some(Restart { senders: 0..1, killed_at, downtime: 0.0 });
            };
            let all = overload_ratios(60, outage, restart);
            let what = format!("{what}, a sender restarted {after} ms after");
            if matches!(outage(0.0), Outage::Errors { .. }) {
                // The error rate is not remembered, only that it was warming up: the bound is higher.
                assert!(all[all.len() - 1].ratio < 2.5, "{what}: {:?}", all[all.len() - 1]);
            } else {
                assert_not_overloaded(&what, &all);
            }
        }
    }
}

#[test]
fn a_returning_receiver_is_not_overloaded_through_added_routes() {
    for (what, outage) in &OUTAGE_KINDS[..4] {
        let change = |scenario: &mut Scenario| {
            scenario.added_routes = Some(AddedRoutes { count: 2, at: scenario.outage_end - 1_000.0 });
            scenario.affected_routes = 0..scenario.routes + 2;
        };
        assert_not_overloaded(&format!("{what}, routes added"), &overload_ratios(100, *outage, change));
    }
}
