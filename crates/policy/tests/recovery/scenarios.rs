//! Tests of many scenarios with several senders in simulated time.

use std::collections::BTreeMap;

use rudderspindle_simulation::receiver::{AddedRoutes, Outage, Restart, Scenario, simulate};

use super::{harness_with_routes, messages, rejects_until};
use crate::common::play_calls;

/// If all senders probed at the time when the Retry-After ends, they would overload the receiver.
#[test]
fn senders_with_the_same_retry_after_spread_their_probes() {
    // There are two senders and a receiver of 10 calls per second, which recovers with a fifth of this
    // capacity: the recovery ramp begins at 2.6 calls per second.
    let mut probe_delays = Vec::new();
    for seed in 0..40 {
        let mut harness = harness_with_routes(1..=2, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let answer = rejects_until(recovered_at);
        let calls = play_calls(&mut harness, messages(0..40), 12_000.0, &mut BTreeMap::new(), answer);
        probe_delays.extend(calls.iter().map(|call| call.at - recovered_at).find(|&delay| delay >= 0.0));
    }
    probe_delays.sort_by(f64::total_cmp);
    assert_eq!(probe_delays.len(), 40, "a probe must be sent in each of the 40 runs");
    // Each sender's share is a half of that rate: one call in 758 ms. Probes are spread evenly over this
    // time.
    assert!(probe_delays[39] <= 790.0 && probe_delays[20] >= 200.0, "{probe_delays:?}");
    let probe_clusters = probe_delays.windows(14).filter(|delays| delays[13] - delays[0] < 100.0).count();
    assert_eq!(probe_clusters, 0, "more than a third of the probes within 100 ms: {probe_delays:?}");
}

/// Highest load of the receiver after its recovery in one scenario.
#[derive(Clone, Copy, Debug)]
struct WorstLoad {
    /// The load as a multiple of the receiver's capacity.
    ratio: f64,
    /// Seed of the scenario.
    seed: u64,
}

/// Returns the highest load of each of several random scenarios, in ascending order.
fn worst_loads(scenarios: u64, outage: fn(f64) -> Outage, change: impl Fn(&mut Scenario)) -> Vec<WorstLoad> {
    let mut loads: Vec<WorstLoad> = (0..scenarios)
        .map(|seed| {
            let mut scenario = Scenario::random(seed, outage);
            change(&mut scenario);
            WorstLoad { ratio: simulate(&scenario).peak_recovery_ratio, seed }
        })
        .collect();
    loads.sort_by(|first, second| first.ratio.total_cmp(&second.ratio));
    loads
}

/// Asserts that the load is at most 1.8 times the receiver's capacity in all but one of fifty scenarios, and
/// overloads the receiver in none.
fn assert_not_overloaded(outage_name: &str, loads: &[WorstLoad]) {
    let WorstLoad { ratio: worst, seed } = loads[loads.len() - 1];
    let load_of_49_in_50 = loads[loads.len() * 49 / 50].ratio;
    assert!(
        worst < 2.5,
        "{outage_name}: load {worst:.2} times the capacity (seed {seed}): must be below 2.5"
    );
    assert!(
        load_of_49_in_50 <= 1.8,
        "{outage_name}: load {load_of_49_in_50:.2} in 49 of 50 scenarios: must be at most 1.8"
    );
}

/// Name of a kind of outage, and a function that returns the outage for a random number from 0 to 1.
type OutageKind = (&'static str, fn(f64) -> Outage);

const OUTAGE_KINDS: [OutageKind; 6] = [
    ("long Retry-After", |_| Outage::RejectAll { retry_after_probability: 1.0 }),
    ("long Retry-After for some calls", |draw| Outage::RejectAll { retry_after_probability: draw * 0.56 }),
    ("rejections without Retry-After", |_| Outage::RejectAll { retry_after_probability: 0.0 }),
    ("refused connections", |_| Outage::RefuseConnections),
    ("errors", |draw| Outage::Errors { share: 0.6 + 0.36 * draw }),
    ("no answers", |_| Outage::Unresponsive),
];

#[test]
fn a_recovering_receiver_is_not_overloaded() {
    for (outage_name, outage) in OUTAGE_KINDS {
        assert_not_overloaded(outage_name, &worst_loads(100, outage, |_| {}));
    }
}

#[test]
fn a_recovering_receiver_is_not_overloaded_by_a_restarted_sender() {
    for (outage_name, outage) in OUTAGE_KINDS {
        for restart_delay in [-2_000.0, 200.0, 1_500.0] {
            let restart = |scenario: &mut Scenario| {
                let killed_at = scenario.outage_end + restart_delay;
                scenario.restart = Some(Restart { senders: 0..1, killed_at, downtime: 0.0 });
            };
            let loads = worst_loads(60, outage, restart);
            let outage_name = format!("{outage_name}, a sender restarted {restart_delay} ms after its end");
            if matches!(outage(0.0), Outage::Errors { .. }) {
                // The bound is higher because the persisted state contains no error rate, only that the
                // receiver was warming up.
                assert!(
                    loads[loads.len() - 1].ratio < 2.5,
                    "{outage_name}: {:?}: the ratio must be below 2.5",
                    loads[loads.len() - 1]
                );
            } else {
                assert_not_overloaded(&outage_name, &loads);
            }
        }
    }
}

#[test]
fn a_recovering_receiver_is_not_overloaded_through_added_routes() {
    for (outage_name, outage) in &OUTAGE_KINDS[..4] {
        let change = |scenario: &mut Scenario| {
            scenario.added_routes = Some(AddedRoutes { count: 2, at: scenario.outage_end - 1_000.0 });
            scenario.affected_routes = 0..scenario.routes + 2;
        };
        assert_not_overloaded(&format!("{outage_name}, routes added"), &worst_loads(100, *outage, change));
    }
}
