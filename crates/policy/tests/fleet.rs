//! Tests of many senders to one receiver, in simulated time. Rejected calls count towards the receiver's
//! limit, so behaviour that is harmless in one sender may overload the receiver in a hundred senders.

use rudderspindle_simulation::receiver::{GossipNetwork, Limit, LoadPeak, Outage, Scenario, simulate};

/// Returns a scenario of 24 s without an outage; `load` is a multiple of the limit.
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

/// Rejections and deliveries of one scenario, or their means over several scenarios.
struct Results {
    /// Number of rejections per delivered message.
    rejections: f64,
    /// Delivered messages as a fraction of the submitted ones or, if fewer, of the calls within the limit.
    delivered: f64,
}

fn results_of(scenario: &Scenario) -> Results {
    let observations = simulate(scenario);
    let capacity = scenario.announced_rate * scenario.duration / 1_000.0;
    let delivered = observations.delivered as f64;
    Results {
        rejections: observations.rejected as f64 / delivered,
        delivered: delivered / capacity.min(observations.submitted as f64),
    }
}

fn mean(results: impl Iterator<Item = Results>) -> Results {
    let scenario_results: Vec<Results> = results.collect();
    let scenario_count = scenario_results.len() as f64;
    Results {
        rejections: scenario_results.iter().map(|result| result.rejections).sum::<f64>() / scenario_count,
        delivered: scenario_results.iter().map(|result| result.delivered).sum::<f64>() / scenario_count,
    }
}

#[test]
fn rejections_do_not_exhaust_the_limit_of_an_overloaded_fleet() {
    for (senders, max_rejections) in [(1, 0.05), (3, 0.25), (30, 0.45), (100, 0.35)] {
        let Results { rejections, delivered: used } =
            mean((0..4).map(|seed| results_of(&calm_scenario(seed, senders, 1.2))));
        println!("{senders} senders: {rejections:.2} rejections per delivery, {used:.2} of the limit used");
        assert!(
            rejections < max_rejections,
            "{senders} senders: {rejections:.2} rejections per delivery: must be below {max_rejections}"
        );
        assert!(used > 0.68, "{senders} senders: {used:.2} of the limit used: must be above 0.68");
    }
}

#[test]
fn one_busy_sender_among_idle_ones_gets_nearly_the_whole_limit() {
    // The sender may use an equal share of the limit at first, and the whole limit later.
    let one_busy = |seed| Scenario { busy_senders: 1, duration: 120_000.0, ..calm_scenario(seed, 100, 0.9) };
    let Results { rejections, delivered: used } = mean((0..4).map(|seed| results_of(&one_busy(seed))));
    println!("one of 100 busy: {rejections:.2} rejections per delivery, {used:.2} of the limit used");
    assert!(
        used > 0.85 && rejections < 0.1,
        "{used:.2} used: must be above 0.85; {rejections:.2} rejections per delivery: must be below 0.1"
    );
}

/// Senders with the same Retry-After send again at the same time. A hundred of them could permanently exhaust
/// a limit with rejected calls, although each of them sends only one call.
#[test]
fn a_fleet_recovers_after_a_limit_was_halved_for_nine_seconds() {
    let limit = Limit::TokenBucket { halved: 8_000.0..17_000.0, retry_after: 750.0, max_debt: 1_500.0 };
    for (senders, min_delivered) in [(30, 0.7), (100, 0.6)] {
        let scenario = |seed| Scenario {
            limit: limit.clone(),
            announced_rate: 75.0,
            duration: 40_000.0,
            ..calm_scenario(seed, senders, 0.9)
        };
        let Results { rejections, delivered } = mean((0..4).map(|seed| results_of(&scenario(seed))));
        println!("{senders} senders: {delivered:.2} delivered, {rejections:.2} rejections per delivery");
        assert!(
            delivered > min_delivered,
            "{senders} senders: {delivered:.2} delivered, {rejections:.2} rejections per delivery"
        );
    }
}

/// The probes of a hundred senders, each within its share, could overload a recovering receiver.
#[test]
fn a_fleet_does_not_overload_a_receiver_after_an_outage_of_5_s() {
    for senders in [30, 100] {
        let scenario = |seed| Scenario {
            affected_routes: 0..2,
            outage_start: 8_000.0,
            outage_end: 13_000.0,
            ..calm_scenario(seed, senders, 1.2)
        };
        let worst = (0..6).map(|seed| simulate(&scenario(seed)).peak_recovery_ratio).fold(0.0, f64::max);
        println!("{senders} senders: load {worst:.2} times the capacity");
        assert!(worst < 2.5, "{senders} senders: load {worst:.2} times the capacity: must be below 2.5");
    }
}

/// Of hundreds of senders only a few see enough failures to detect an outage, and the others would overload
/// the recovering receiver at their full rate. With reports each sender has the failures of all.
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
        println!("{outage:?}: load {worst:.2} times the capacity");
        assert!(worst < 2.5, "{outage:?}: load {worst:.2} times the capacity: must be below 2.5");
    }
}

/// The limit is halved, Retry-After is 3 s, and then no call is answered for two seconds: the outage ends
/// before most Retry-Afters do, and three times the usual number of messages arrive in the second after it.
#[test]
fn an_outage_within_a_retry_after_causes_no_overload() {
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
                "{senders} senders: load {worst:.2} times capacity, {delivered:.2} delivered, {} rejected",
                observations.rejected
            );
            assert!(worst < 2.5, "{senders} senders: load {worst:.2} times the capacity: must be below 2.5");
            assert!(delivered > 0.4, "{senders} senders: {delivered:.2} delivered: must be above 0.4");
            assert!(observations.rejected < 300, "{senders} senders: {} rejected", observations.rejected);
        }
    }
}

/// Returns a scenario whose limit is a token bucket; a rejected call takes as many tokens as an accepted one.
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

/// Hundreds of senders with equal shares of a limit saturate it permanently once a burst has exceeded it,
/// because rejected calls count towards the limit and few senders receive more than one rejection. With
/// reports of the demand of all senders the limit is shared by demand.
#[test]
fn senders_that_report_their_demand_recover_from_a_saturated_limit() {
    for (senders, min_delivered, min_gain) in [(30, 0.9, 0.0), (300, 0.7, 0.05)] {
        let mean_results = |gossip: Option<GossipNetwork>| {
            mean((0..2).map(|seed| results_of(&rate_limited_scenario(seed, senders, gossip.clone()))))
        };
        let Results { rejections: rejections_without, delivered: delivered_without } = mean_results(None);
        let lossless = GossipNetwork::with_loss(0.0);
        let Results { rejections, delivered } = mean_results(Some(lossless.clone()));
        let Results { rejections: rejections_half_lost, delivered: delivered_half_lost } =
            mean_results(Some(GossipNetwork { loss: 0.5, ..lossless.clone() }));
        let Results { rejections: rejections_partitioned, delivered: delivered_partitioned } =
            mean_results(Some(GossipNetwork { partition: 6_000.0..16_000.0, ..lossless }));
        println!(
            "{senders} senders, delivered fraction and rejections per delivery: {delivered_without:.2} \
            {rejections_without:.2} without reports, {delivered:.2} {rejections:.2} with reports, \
            {delivered_half_lost:.2} {rejections_half_lost:.2} with half of the reports lost, \
            {delivered_partitioned:.2} {rejections_partitioned:.2} without reports for 10 s"
        );
        assert!(
            delivered > min_delivered && delivered > delivered_without + min_gain,
            "{senders} senders: {delivered:.2} delivered, {delivered_without:.2} without reports"
        );
        assert!(
            rejections < 0.5 * rejections_without,
            "{senders} senders: {rejections:.2} rejections per delivery"
        );
        // Half of the reports help, because lost ones are estimated. A partition of 10 s has little effect.
        assert!(
            delivered_half_lost > delivered_without - 0.05 + min_gain,
            "{senders} senders: {delivered_half_lost:.2} delivered with half of the reports lost"
        );
        assert!(
            delivered_partitioned > delivered_without - 0.15,
            "{senders} senders: {delivered_partitioned:.2} delivered without reports for 10 s"
        );
        assert!(
            rejections_half_lost < 0.9 * rejections_without,
            "{senders} senders: {rejections_half_lost:.2} rejections per delivery with half of reports lost"
        );
        assert!(
            rejections_partitioned < 1.5 * rejections_without,
            "{senders} senders: {rejections_partitioned:.2} rejections per delivery without reports for 10 s"
        );
    }
}

/// Hundreds of senders that start at the same time, as after a failure, have no reports yet. If all of them
/// have messages for one receiver, one call of each at once would exceed the receiver's limit for seconds.
#[test]
fn senders_that_start_together_do_not_all_call_at_once() {
    let scenario = |seed| Scenario {
        gossip_network: Some(GossipNetwork::with_loss(0.0)),
        load_peak: LoadPeak { factor: 15.0, period: 0.0..400.0 },
        duration: 12_000.0,
        ..calm_scenario(seed, 300, 0.8)
    };
    let Results { rejections, .. } = mean((0..3).map(|seed| results_of(&scenario(seed))));
    println!("300 senders that start together: {rejections:.2} rejections per delivery");
    assert!(rejections < 0.1, "{rejections:.2} rejections per delivery: must be below 0.1");
}
