//! The calls of all senders to a recovering receiver, in simulated time: at most N in the time that overloads
//! it, and 2 root N + 2 for the random draws. Only calls of senders that had seen a failure in the outage are
//! counted. `rudderspindle-bench fleet-limit --recovery` prints the whole table.

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

/// An outage in which at least two messages are submitted to each sender; a tenth of them restart after it.
fn scenario(seed: u64, senders: usize, announced_rate: f64, load: f64, outage: Outage) -> Scenario {
    let random = Scenario::random(seed, |_| outage);
    let period = random.outage_start..random.outage_end;
    let messages = (period.end - period.start) / 1_000.0 * load * announced_rate;
    let restart =
        Restart { senders: 0..senders.div_ceil(10), killed_at: random.outage_end + 1_500.0, downtime: 600.0 };
    Scenario {
        senders,
        busy_senders: senders,
        peers: senders,
        limit: Limit::Window { carry_over: 0.5 },
        announced_rate,
        load,
        load_peak: LoadPeak { factor: (2.0 * senders as f64 / messages).max(1.0), period },
        restart: Some(restart),
        ..random
    }
}

/// A load from senders that have seen the outage.
#[derive(Default)]
struct Load {
    /// As a multiple of the bound.
    ratio: f64,
    /// Its scenario.
    scenario: String,
}

/// The highest load in several scenarios.
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

fn assert_bound(senders: usize, announced_rate: f64, gossip_network: &Option<GossipNetwork>) {
    // Below its limit, and three times that: each sender has more messages than its share allows.
    for load in [0.9, 3.0] {
        let Load { ratio, scenario } = highest_load(senders, announced_rate, load, gossip_network);
        println!("{senders} senders, {announced_rate} a second, load {load}: {ratio:.2}");
        assert!(
            ratio <= 1.0,
            "{senders} senders, {announced_rate} a second, load {load}: {ratio:.2}, {scenario}"
        );
    }
}

#[test]
fn without_reports_2_to_30_senders_do_not_overload_a_returning_receiver() {
    for senders in [2, 10, 20, 30] {
        assert_bound(senders, 5.0, &None);
        assert_bound(senders, 75.0, &None);
    }
}

#[test]
fn with_reports_and_with_half_of_them_lost_they_do_not_overload_it() {
    for lost in [0.0, 0.5] {
        let gossip = Some(GossipNetwork::with_loss(lost));
        for senders in [20, 30] {
            assert_bound(senders, 5.0, &gossip);
            assert_bound(senders, 75.0, &gossip);
        }
    }
}

#[test]
fn a_partitioned_fleet_does_not_overload_a_returning_receiver() {
    let cut = Some(GossipNetwork { loss: 0.0, partition: 6_000.0..f64::INFINITY });
    for senders in [20, 30] {
        assert_bound(senders, 75.0, &cut);
    }
}

#[test]
fn three_hundred_senders_do_not_overload_a_large_returning_receiver() {
    for gossip in [None, Some(GossipNetwork::with_loss(0.0))] {
        let Load { ratio, scenario } = highest_load(300, 75.0, 0.9, &gossip);
        println!("300 senders: {ratio:.2}");
        assert!(ratio <= 1.0, "300 senders: {ratio:.2}, {scenario}");
    }
}

/// With reports a busy sender among many may take more than an equal part, as the others have no demand.
#[test]
fn with_reports_busy_senders_get_what_idle_ones_leave() {
    let served = |gossip: Option<GossipNetwork>| -> f64 {
        let of = |seed| {
            let base = scenario(seed, 30, 75.0, 0.9, Outage::RefuseConnections);
            let gossip_network = gossip.clone();
            let scenario = Scenario { busy_senders: 3, restart: None, gossip_network, ..base };
            simulate(&scenario).delivered_during_ramp as f64 / recovery_ramp_capacity(75.0)
        };
        (0..3).map(of).sum::<f64>() / 3.0
    };
    let alone = served(None);
    let reported = served(Some(GossipNetwork::with_loss(0.0)));
    println!(
        "three of thirty busy: {alone:.2} of what a returning receiver can take without reports, {reported:.2} with them"
    );
    assert!(reported > 0.6 && reported > 2.0 * alone, "{reported:.2} with reports, {alone:.2} without");
}
