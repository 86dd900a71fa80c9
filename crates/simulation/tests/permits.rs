//! A fleet before one limit, each of whose calls needs a permit.

use rudderspindle_simulation::receiver::{
    GossipNetwork, Limit, LimitEnforcement, Observations, Outage, Restart, Scenario, max_calls_by_permits,
    simulate,
};

const LIMIT: f64 = 60.0;

/// A scenario of 16 s without an outage, with more messages than the receiver's limit.
fn overloaded(seed: u64, loss: f64) -> Scenario {
    let random = Scenario::random(seed, |_| Outage::RefuseConnections);
    Scenario {
        senders: 30,
        busy_senders: 30,
        peers: 30,
        limit: Limit::Window { carry_over: 0.5 },
        announced_rate: LIMIT,
        routes: 2,
        outage_start: f64::INFINITY,
        outage_end: f64::INFINITY,
        load: 1.2,
        service_time: 150.0,
        gossip_network: Some(GossipNetwork::with_loss(loss)),
        enforcement: LimitEnforcement::Permits,
        duration: 16_000.0,
        ..random
    }
}

fn assert_bound(scenario: &Scenario, observations: &Observations) {
    for span in [50.0, 250.0, 1_000.0, 4_000.0] {
        let calls = observations.max_calls_within(span);
        let bound = max_calls_by_permits(scenario.announced_rate, span, scenario.max_clock_skew);
        assert!(calls as f64 <= bound, "{calls} calls in {span} ms, the bound is {bound}");
    }
    assert!(observations.max_calls_in_whole_second() <= observations.max_calls_in_second());
}

#[test]
fn whatever_is_lost_no_span_has_more_calls_than_the_bound_and_few_are_rejected() {
    for loss in [0.0, 0.5, 1.0] {
        for seed in 0..2 {
            let scenario = overloaded(seed, loss);
            let observations = simulate(&scenario);
            let (rejected, delivered) = (observations.rejected as f64, observations.delivered as f64);
            println!(
                "{loss} lost: peak second {}, {delivered} delivered, {rejected} rejected",
                observations.max_calls_in_second()
            );
            assert_bound(&scenario, &observations);
            assert!(rejected < 0.05 * delivered, "{loss} lost: {rejected} rejected, {delivered} delivered");
            // The permits' start-up and the last 4 s without submissions reduce the throughput.
            let least = if loss == 0.0 { 0.75 } else { 0.4 };
            assert!(delivered > least * LIMIT * 16.0, "{loss} lost: {delivered} delivered");
        }
    }
}

/// Shows that the bound does not hold by itself.
#[test]
fn without_permits_the_bound_is_broken_where_half_of_the_datagrams_are_lost() {
    let scenario = Scenario { enforcement: LimitEnforcement::CapacityShares, ..overloaded(0, 0.5) };
    let calls = simulate(&scenario).max_calls_in_second() as f64;
    assert!(calls > max_calls_by_permits(LIMIT, 1_000.0, 0), "{calls} calls in the peak second");
}

#[test]
fn the_bound_holds_where_a_sender_is_killed_after_it_used_its_permits_and_restarts_0_6_s_later() {
    for at in [6_100.0, 6_600.0, 7_350.0, 7_900.0] {
        // All messages are submitted to one sender, which uses all of its permits.
        let restart = Restart { senders: 0..1, killed_at: at, downtime: 600.0 };
        let scenario = Scenario { busy_senders: 1, restart: Some(restart), ..overloaded(3, 0.0) };
        let observations = simulate(&scenario);
        assert_bound(&scenario, &observations);
        let before =
            observations.call_starts.iter().filter(|start| (at - 1_000.0..at).contains(*start)).count();
        assert!(before as f64 > 0.7 * LIMIT, "{before} calls in the second before the kill");
        let after = observations.call_starts.iter().filter(|start| **start > at + 3_600.0).count();
        assert!(after as f64 > 0.6 * LIMIT, "{after} calls from three seconds after its restart");
    }
}

#[test]
fn clocks_200_ms_apart_widen_the_bound_by_no_more() {
    for loss in [0.0, 0.5, 1.0] {
        let scenario = Scenario { max_clock_skew: 200, ..overloaded(4, loss) };
        let observations = simulate(&scenario);
        println!("{loss} lost: peak second {}", observations.max_calls_in_second());
        assert_bound(&scenario, &observations);
        assert!(observations.delivered > 300, "{} delivered", observations.delivered);
    }
}

/// Permits are issued for the whole limit; during a recovery all senders leave the same surplus permits unused, according
/// to the fleet's reports.
#[test]
fn senders_with_permits_do_not_overload_a_receiver_that_returns_from_an_outage() {
    for loss in [0.0, 0.5] {
        let scenario = Scenario {
            senders: 300,
            busy_senders: 300,
            peers: 300,
            announced_rate: 75.0,
            affected_routes: 0..2,
            outage_start: 8_000.0,
            outage_end: 13_000.0,
            duration: 24_000.0,
            ..overloaded(5, loss)
        };
        let observations = simulate(&scenario);
        println!("{loss} lost: load {:.2} times the receiver's capacity", observations.peak_recovery_ratio);
        assert_bound(&scenario, &observations);
        assert!(
            observations.peak_recovery_ratio < 2.5,
            "{loss} lost: load {:.2} times the receiver's capacity",
            observations.peak_recovery_ratio
        );
    }
}

/// A receiver lowers its limit without announcing it; the senders leave the surplus permits unused, according to the
/// fleet's reports.
#[test]
fn senders_with_permits_are_seldom_rejected_where_the_limit_is_halved() {
    let limit = Limit::TokenBucket { halved: 8_000.0..17_000.0, retry_after: 750.0, max_debt: 1_500.0 };
    let scenario = Scenario { limit, duration: 24_000.0, ..overloaded(5, 0.0) };
    let observations = simulate(&scenario);
    let rejected = observations.rejected as f64 / observations.delivered as f64;
    println!("{rejected:.2} rejections per delivered message");
    assert_bound(&scenario, &observations);
    assert!(rejected < 0.25, "{rejected:.2} rejections per delivered message");
}
