//! Tests that the calls of all senders to a recovering receiver do not exceed a bound, in simulated time. The
//! bound is N + 2 root N + 2 calls: N calls overload the receiver on average, and the rest allows for the
//! random draws. Only calls of senders that have observed a failure in the outage count. `rudderspindle-bench
//! fleet-limit --recovery` prints the whole table.

use rudderspindle_simulation::receiver::{
    GossipNetwork, Limit, LoadPeak, Outage, Restart, Scenario, recovery_ramp_capacity, simulate,
};

const OUTAGES: [Outage; 5] = [
    Outage::RefuseConnections,
    Outage::Unresponsive,
    Outage::Errors { share: 0.9 },
    Outage::RejectAll { retry_after_probability: 1.0 },
    Outage::RejectAll { retry_after_probability: 0.0 },
];

/// Returns a scenario with an outage in which at least two messages are submitted to each sender. A tenth of
/// the senders restart after it.
fn scenario(seed: u64, senders: usize, announced_rate: f64, load: f64, outage: Outage) -> Scenario {
    let random = Scenario::random(seed, |_| outage);
    let period = random.outage_start..random.outage_end;
    let message_count = (period.end - period.start) / 1_000.0 * load * announced_rate;
    let restart =
        Restart { senders: 0..senders.div_ceil(10), killed_at: random.outage_end + 1_500.0, downtime: 600.0 };
    Scenario {
        senders,
        busy_senders: senders,
        peers: senders,
        limit: Limit::Window { carry_over: 0.5 },
        announced_rate,
        load,
        load_peak: LoadPeak { factor: (2.0 * senders as f64 / message_count).max(1.0), period },
        restart: Some(restart),
        ..random
    }
}

/// Load from senders that have observed a failure in the outage.
#[derive(Default)]
struct Load {
    /// Load as a multiple of the bound.
    ratio: f64,
    /// Description of the scenario.
    scenario: String,
}

/// Returns the highest load in scenarios of three seeds and all kinds of outage.
fn highest_load(
    senders: usize,
    announced_rate: f64,
    load: f64,
    gossip_network: &Option<GossipNetwork>,
) -> Load {
    let mut highest = Load::default();
    for seed in 0..3 {
        for outage in OUTAGES {
            let base = scenario(seed, senders, announced_rate, load, outage);
            let scenario = Scenario { gossip_network: gossip_network.clone(), ..base };
            let peak = simulate(&scenario).informed_peak_load;
            let ratio = peak.informed_ratio();
            if ratio > highest.ratio {
                highest = Load { ratio, scenario: format!("seed {seed}, {outage:?}: {peak:?}") };
            }
        }
    }
    highest
}

/// Asserts that the calls of senders that have observed the outage do not exceed the bound, at two submitted
/// loads.
fn assert_within_bound(senders: usize, announced_rate: f64, gossip_network: &Option<GossipNetwork>) {
    // The first load is below the limit. The second is three times the limit, so each sender has more
    // messages than its share allows.
    for load in [0.9, 3.0] {
        let Load { ratio, scenario } = highest_load(senders, announced_rate, load, gossip_network);
        println!("{senders} senders, {announced_rate} calls/s, load {load}: {ratio:.2} of the bound");
        assert!(
            ratio <= 1.0,
            "{senders} senders, {announced_rate} calls/s, load {load}: {ratio:.2} of the bound, {scenario}"
        );
    }
}

#[test]
fn without_reports_2_to_30_senders_keep_to_the_recovery_bound() {
    for senders in [2, 10, 20, 30] {
        assert_within_bound(senders, 5.0, &None);
        assert_within_bound(senders, 75.0, &None);
    }
}

/// The bound holds if all reports arrive, and if half of them are lost.
#[test]
fn with_reports_20_to_30_senders_keep_to_the_recovery_bound() {
    for loss in [0.0, 0.5] {
        let gossip = Some(GossipNetwork::with_loss(loss));
        for senders in [20, 30] {
            assert_within_bound(senders, 5.0, &gossip);
            assert_within_bound(senders, 75.0, &gossip);
        }
    }
}

#[test]
fn a_partitioned_fleet_keeps_to_the_recovery_bound() {
    let partitioned = Some(GossipNetwork { loss: 0.0, partition: 6_000.0..f64::INFINITY });
    for senders in [20, 30] {
        assert_within_bound(senders, 75.0, &partitioned);
    }
}

#[test]
fn three_hundred_senders_keep_to_the_recovery_bound() {
    for gossip in [None, Some(GossipNetwork::with_loss(0.0))] {
        let Load { ratio, scenario } = highest_load(300, 75.0, 0.9, &gossip);
        println!("300 senders: {ratio:.2} of the bound");
        assert!(ratio <= 1.0, "300 senders: {ratio:.2} of the bound, {scenario}");
    }
}

/// With reports a busy sender among many may use more than an equal share of the limit, because the other
/// senders report no demand.
#[test]
fn with_reports_busy_senders_use_the_capacity_of_idle_ones() {
    let used_capacity = |gossip: Option<GossipNetwork>| -> f64 {
        let used_by_seed = |seed| {
            let base = scenario(seed, 30, 75.0, 0.9, Outage::RefuseConnections);
            let gossip_network = gossip.clone();
            let scenario = Scenario { busy_senders: 3, restart: None, gossip_network, ..base };
            simulate(&scenario).delivered_during_ramp as f64 / recovery_ramp_capacity(75.0)
        };
        (0..3).map(used_by_seed).sum::<f64>() / 3.0
    };
    let used_without_reports = used_capacity(None);
    let used_with_reports = used_capacity(Some(GossipNetwork::with_loss(0.0)));
    println!(
        "3 of 30 busy: {used_without_reports:.2} of ramp used without reports, {used_with_reports:.2} with"
    );
    assert!(
        used_with_reports > 0.6 && used_with_reports > 2.0 * used_without_reports,
        "{used_with_reports:.2} of the ramp used with reports, {used_without_reports:.2} without"
    );
}
