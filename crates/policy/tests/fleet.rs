//! Many senders of one receiver with a limit that rejected calls count at, in simulated time: behaviour that
//! is harmless for one sender must not harm when a hundred show it.

use rudderspindle_simulation::receiver::{GossipNetwork, Limit, LoadPeak, Outage, Scenario, simulate};

/// A scenario of 24 s without an outage; the load is a multiple of the limit.
fn calm_scenario(seed: u64, senders: usize, load: f64) -> Scenario {
    let random = Scenario::random(seed, |_| Outage::RefuseConnections);
    Scenario {
        senders,
        busy_senders: senders,
        peers: senders,
        limit: Limit::Window { carry_over: 0.5 },
        announced_rate: 60.0,
        routes: 2,
        outage_start: f64::INFINITY,
        outage_end: f64::INFINITY,
        load,
        service_time: 150.0,
        duration: 24_000.0,
        ..random
    }
}

/// The figures of one scenario, or their means over several.
struct Figures {
    /// Rejections for each delivered message.
    rejections: f64,
    /// The share that was delivered of what could be.
    delivered: f64,
}

fn figures(scenario: &Scenario) -> Figures {
    let observations = simulate(scenario);
    let capacity = scenario.announced_rate * scenario.duration / 1_000.0;
    let delivered = observations.delivered as f64;
    Figures {
        rejections: observations.rejected as f64 / delivered,
        delivered: delivered / capacity.min(observations.submitted as f64),
    }
}

fn mean(figures: impl Iterator<Item = Figures>) -> Figures {
    let all: Vec<Figures> = figures.collect();
    let scenarios = all.len() as f64;
    Figures {
        rejections: all.iter().map(|one| one.rejections).sum::<f64>() / scenarios,
        delivered: all.iter().map(|one| one.delivered).sum::<f64>() / scenarios,
    }
}

#[test]
fn an_overloaded_fleet_does_not_saturate_the_limit_with_rejected_calls() {
    for (senders, most) in [(1, 0.05), (3, 0.25), (30, 0.45), (100, 0.35)] {
        let Figures { rejections, delivered: used } =
            mean((0..4).map(|seed| figures(&calm_scenario(seed, senders, 1.2))));
        println!("{senders} senders: {rejections:.2} rejections per delivered message, use {used:.2}");
        assert!(rejections < most, "{senders} senders: {rejections:.2} rejections per delivered message");
        assert!(used > 0.68, "{senders} senders: {used:.2} of the limit used");
    }
}

#[test]
fn a_single_busy_sender_among_idle_ones_gets_nearly_the_whole_limit() {
    // An equal part at first, and later the whole limit.
    let lone = |seed| Scenario { busy_senders: 1, duration: 120_000.0, ..calm_scenario(seed, 100, 0.9) };
    let Figures { rejections, delivered: used } = mean((0..4).map(|seed| figures(&lone(seed))));
    println!("one of a hundred: {rejections:.2} rejections per delivered message, use {used:.2}");
    assert!(
        used > 0.85 && rejections < 0.1,
        "use {used:.2}, {rejections:.2} rejections per delivered message"
    );
}

/// Senders with the same Retry-After return at the same time. A hundred of them could use up a limit with
/// rejected calls for good, though each sends one call only.
#[test]
fn a_fleet_recovers_after_a_limit_was_halved_for_nine_seconds() {
    let limit = Limit::TokenBucket { halved: 8_000.0..17_000.0, retry_after: 750.0, max_debt: 1_500.0 };
    for (senders, least) in [(30, 0.7), (100, 0.6)] {
        let scenario = |seed| Scenario {
            limit: limit.clone(),
            announced_rate: 75.0,
            duration: 40_000.0,
            ..calm_scenario(seed, senders, 0.9)
        };
        let Figures { rejections, delivered } = mean((0..4).map(|seed| figures(&scenario(seed))));
        println!(
            "{senders} senders, halved: {rejections:.2} rejections per delivered message, delivered {delivered:.2}"
        );
        assert!(
            delivered > least,
            "{senders} senders: {delivered:.2} delivered, {rejections:.2} rejections each"
        );
    }
}

/// The probes of a hundred senders, each within its share, could overload a receiver that returns.
#[test]
fn a_fleet_does_not_overload_a_receiver_that_returns_after_five_seconds() {
    for senders in [30, 100] {
        let scenario = |seed| Scenario {
            affected_routes: 0..2,
            outage_start: 8_000.0,
            outage_end: 13_000.0,
            ..calm_scenario(seed, senders, 1.2)
        };
        let worst = (0..6).map(|seed| simulate(&scenario(seed)).peak_recovery_ratio).fold(0.0, f64::max);
        println!("{senders} senders: sent {worst:.2} times what it could take");
        assert!(worst < 2.5, "{senders} senders: sent {worst:.2} times what it could take");
    }
}

/// Few senders of hundreds see enough of an outage, and the others at their full rate would overload the
/// receiver when it recovers. The fleet's reports show the failures of all senders to each.
#[test]
fn reports_of_an_outage_reach_senders_that_saw_little_of_it() {
    for outage in [
        Outage::RefuseConnections,
        Outage::Unresponsive,
        Outage::Errors { share: 1.0 },
        Outage::RejectAll { retry_after_probability: 0.3 },
    ] {
        let scenario = |seed| Scenario {
            outage,
            affected_routes: 0..2,
            outage_start: 8_000.0,
            outage_end: 13_000.0,
            announced_rate: 75.0,
            gossip_network: Some(GossipNetwork::with_loss(0.0)),
            ..calm_scenario(seed, 300, 1.2)
        };
        let worst = (0..2).map(|seed| simulate(&scenario(seed)).peak_recovery_ratio).fold(0.0, f64::max);
        println!("{outage:?}: sent {worst:.2} times what it could take");
        assert!(worst < 2.5, "{outage:?}: sent {worst:.2} times what it could take");
    }
}

/// The limit is halved, Retry-After is 3 s, and then no call is answered for two seconds: the interruption
/// ends before most Retry-Afters do, and three times the usual messages arrive in the second after it.
#[test]
fn an_interruption_within_retry_after_leads_to_no_overload_and_no_saturation() {
    for senders in [30, 300] {
        let scenario = |seed| Scenario {
            limit: Limit::TokenBucket { halved: 5_000.0..20_000.0, retry_after: 3_000.0, max_debt: 1_500.0 },
            outage: Outage::Unresponsive,
            affected_routes: 0..2,
            outage_start: 8_000.0,
            outage_end: 10_000.0,
            announced_rate: 75.0,
            load_peak: LoadPeak { factor: 3.0, period: 10_000.0..11_000.0 },
            duration: 40_000.0,
            gossip_network: Some(GossipNetwork::with_loss(0.0)),
            ..calm_scenario(seed, senders, 0.8)
        };
        for seed in 0..2 {
            let observations = simulate(&scenario(seed));
            let (worst, delivered) = (
                observations.peak_recovery_ratio,
                observations.delivered as f64 / observations.submitted as f64,
            );
            println!(
                "{senders} senders: sent {worst:.2} times what it could take, delivered {delivered:.2}, {} rejected",
                observations.rejected
            );
            assert!(worst < 2.5, "{senders} senders: sent {worst:.2} times what it could take");
            assert!(delivered > 0.4, "{senders} senders: {delivered:.2} delivered");
            assert!(observations.rejected < 300, "{senders} senders: {} rejected", observations.rejected);
        }
    }
}

/// A scenario whose limit is a token bucket that rejected calls use as much as accepted ones.
fn rate_limited_scenario(seed: u64, senders: usize, gossip_network: Option<GossipNetwork>) -> Scenario {
    let limit = Limit::TokenBucket { halved: 0.0..0.0, retry_after: 750.0, max_debt: f64::INFINITY };
    Scenario {
        limit,
        announced_rate: 75.0,
        duration: 40_000.0,
        gossip_network,
        load_peak: LoadPeak { factor: 2.5, period: 8_000.0..10_000.0 },
        ..calm_scenario(seed, senders, 0.85)
    }
}

/// Hundreds of senders at equal parts saturate a limit for good once a burst has exceeded it: rejected calls
/// use it up, and few senders see more than one of them. With reports of all demand they share it.
#[test]
fn senders_that_report_their_demand_recover_from_a_saturated_limit() {
    for (senders, least, gain) in [(30, 0.9, 0.0), (300, 0.7, 0.05)] {
        let of = |gossip: Option<GossipNetwork>| {
            mean((0..2).map(|seed| figures(&rate_limited_scenario(seed, senders, gossip.clone()))))
        };
        let Figures { rejections: alone_rejections, delivered: alone } = of(None);
        let lossless = GossipNetwork::with_loss(0.0);
        let Figures { rejections, delivered } = of(Some(lossless.clone()));
        let Figures { rejections: half_rejections, delivered: half } =
            of(Some(GossipNetwork { loss: 0.5, ..lossless.clone() }));
        let Figures { rejections: cut_rejections, delivered: cut } =
            of(Some(GossipNetwork { partition: 6_000.0..16_000.0, ..lossless }));
        println!(
            "{senders} senders, delivered and rejections each: {alone:.2} {alone_rejections:.2} without reports, \
            {delivered:.2} {rejections:.2} with them, {half:.2} {half_rejections:.2} with half of them lost, \
            {cut:.2} {cut_rejections:.2} with none for 10 s"
        );
        assert!(delivered > least && delivered > alone + gain, "{senders} senders: {delivered:.2} delivered");
        assert!(rejections < 0.5 * alone_rejections, "{senders} senders: {rejections:.2} rejections each");
        // Half of the reports are better than none, as lost ones are estimated; an interruption of reports
        // has little effect.
        assert!(
            half > alone - 0.05 + gain,
            "{senders} senders: {half:.2} delivered, half of the reports lost"
        );
        assert!(cut > alone - 0.15, "{senders} senders: {cut:.2} delivered with none for 10 s");
        assert!(
            half_rejections < 0.9 * alone_rejections,
            "{senders} senders: {half_rejections:.2} rejections each"
        );
        assert!(
            cut_rejections < 1.5 * alone_rejections,
            "{senders} senders: {cut_rejections:.2} rejections each"
        );
    }
}

/// Hundreds of senders that start together, as after a failure, have no reports yet, and each has messages
/// for the same receiver: one call of each at once would exceed its limit for seconds.
#[test]
fn senders_that_start_together_do_not_all_call_at_once() {
    let scenario = |seed| Scenario {
        gossip_network: Some(GossipNetwork::with_loss(0.0)),
        load_peak: LoadPeak { factor: 15.0, period: 0.0..400.0 },
        duration: 12_000.0,
        ..calm_scenario(seed, 300, 0.8)
    };
    let Figures { rejections, .. } = mean((0..3).map(|seed| figures(&scenario(seed))));
    println!("300 senders that start together: {rejections:.2} rejections per delivered message");
    assert!(rejections < 0.1, "{rejections:.2} rejections per delivered message");
}
