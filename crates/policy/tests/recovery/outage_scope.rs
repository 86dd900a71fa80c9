//! Which outcomes are an outage of all routes, and which of one.

use std::collections::BTreeMap;

use rudderspindle_simulation::SeededRng;

use super::{
    NO_CONNECTION, OK, answers_until, assert_one_probe_and_one_ramp, messages, ramp_of_one, rejected,
    rejects_until, with_routes,
};
use crate::common::{Answer, play_calls};
use rudderspindle_policy::interface::{Millis, Outcome, RouteEntry};
use rudderspindle_simulation::fixtures::{entry, list};

#[test]
fn a_long_retry_after_of_one_route_is_an_outage_of_all_with_one_probe_and_one_ramp() {
    for seed in 0..20 {
        let mut harness = with_routes(1..=4, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let answer = rejects_until(returned_at);
        let calls = play_calls(&mut harness, messages(0..80), 14_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, returned_at, &format!("seed {seed}"));
    }
}

#[test]
fn a_success_of_a_call_from_before_the_outage_does_not_end_it() {
    for seed in 0..20 {
        let mut harness = with_routes(1..=2, 0, seed);
        let down_at = harness.now + 1_000.0;
        let returned_at = harness.now + 13_000.0;
        let mut slow = true;
        let answer = |now: Millis, _| match now {
            // Sent before the outage, and successful after others have been rejected.
            _ if now < down_at && std::mem::take(&mut slow) => Answer::new(1_400.0, Outcome::Ok),
            _ if now < down_at => OK,
            _ if now < returned_at => rejected(returned_at - now),
            _ => OK,
        };
        let calls = play_calls(&mut harness, messages(0..100), 18_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, returned_at, &format!("seed {seed}"));
    }
}

#[test]
fn a_receiver_that_refuses_connections_is_down_before_each_route_has_failed_often() {
    for seed in 0..20 {
        let mut harness = with_routes(1..=4, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let answer = answers_until(returned_at, NO_CONNECTION);
        let calls = play_calls(&mut harness, messages(0..80), 13_000.0, &mut BTreeMap::new(), answer);
        let early = calls.iter().filter(|call| call.at < returned_at - 8_000.0).count();
        assert!(early <= 8, "seed {seed}: {early} calls in the first second of an outage");
        assert_one_probe_and_one_ramp(&calls, returned_at, &format!("seed {seed}"));
        let routes: std::collections::BTreeSet<u64> =
            calls.iter().filter(|call| call.at < returned_at).map(|call| call.route).collect();
        assert_eq!(routes.len(), 4, "each route is probed");
    }
}

#[test]
fn most_routes_without_an_answer_are_an_outage_of_all() {
    for seed in 0..20 {
        let mut harness = with_routes(1..=3, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let answer = answers_until(returned_at, Answer::new(3_000.0, Outcome::Timeout));
        // One message for each route at first: no route alone has two calls without an answer.
        let mut attempts = BTreeMap::new();
        let mut calls = play_calls(&mut harness, messages(0..3), 1_500.0, &mut attempts, answer);
        calls.extend(play_calls(&mut harness, messages(3..80), 11_500.0, &mut attempts, answer));
        let during = calls.iter().filter(|call| call.at < returned_at).count();
        assert!(during <= 12, "seed {seed}: {during} calls to a receiver that does not answer");
        assert_one_probe_and_one_ramp(&calls, returned_at, &format!("seed {seed}"));
    }
}

#[test]
fn routes_that_the_list_adds_or_moves_during_an_outage_are_part_of_it() {
    let added: Vec<RouteEntry> = (1..=4).map(|route| entry(route, 0, 0, 0)).collect();
    // New ids at the addresses of those that were removed.
    let moved: Vec<RouteEntry> = (11..=12).map(|route| entry(route, 0, 0, 0)).collect();
    for (what, entries) in [("added", added), ("moved", moved)] {
        for seed in 0..20 {
            let mut harness = with_routes(1..=2, 0, seed);
            let returned_at = harness.now + 9_000.0;
            let mut attempts = BTreeMap::new();
            let answer = answers_until(returned_at, NO_CONNECTION);
            let mut calls = play_calls(&mut harness, messages(0..80), 5_000.0, &mut attempts, answer);
            let change = vec![list(entries.clone())];
            let before = calls.len();
            calls.extend(play_calls(&mut harness, change, 8_000.0, &mut attempts, answer));
            let at_once = calls[before..].iter().filter(|call| call.at < returned_at - 3_500.0).count();
            assert!(at_once <= 2, "{what}, seed {seed}: {at_once} calls in half a second by new routes");
            assert_one_probe_and_one_ramp(&calls, returned_at, &format!("{what}, seed {seed}"));
        }
    }
}

#[test]
fn one_failing_route_takes_no_healthy_one_down() {
    for failure in [NO_CONNECTION, Answer::new(10.0, Outcome::Error)] {
        for seed in 0..20 {
            let mut harness = with_routes(1..=3, 0, seed);
            let answer = |_, route| if route == 2 { failure } else { OK };
            let calls = play_calls(&mut harness, messages(0..60), 10_000.0, &mut BTreeMap::new(), answer);
            let healthy = calls.iter().filter(|call| call.route != 2).count();
            assert!(
                healthy >= 45,
                "seed {seed}: {healthy} went by the healthy routes in 10 s at a rate of 5 per second"
            );
            assert!(calls.len() - healthy <= 20, "seed {seed}: the failing one got more calls");
        }
    }
}

#[test]
fn errors_of_most_routes_begin_slow_start_for_all() {
    let mut without_slow_start = 0;
    for seed in 0..40 {
        let mut harness = with_routes(1..=4, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let mut rng = SeededRng::new(seed);
        let answer = |now: Millis, _| {
            if now < returned_at && rng.unit() < 0.72 { Answer::new(20.0, Outcome::Error) } else { OK }
        };
        let calls = play_calls(&mut harness, messages(0..90), 13_000.0, &mut BTreeMap::new(), answer);
        let soon = calls.iter().filter(|call| (returned_at..returned_at + 3_000.0).contains(&call.at)).count()
            as f64;
        // More than after an outage, as the last error may be long ago.
        without_slow_start += usize::from(soon > 2.0 + 1.35 * ramp_of_one(3.0));
    }
    assert!(without_slow_start <= 2, "{without_slow_start} of 40 were sent to as if nothing had been");
}

#[test]
fn rejections_alone_for_longer_than_the_span_of_a_limit_are_an_outage() {
    let mut at_the_limit = 0;
    for seed in 0..20 {
        let mut harness = with_routes(1..=2, 0, seed);
        let returned_at = harness.now + 9_000.0;
        let answer = answers_until(returned_at, rejected(0.0));
        let calls = play_calls(&mut harness, messages(0..80), 13_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, returned_at, &format!("seed {seed}"));
        // One call of each second is accepted: a limit that others use up, not an outage.
        let mut harness = with_routes(1..=2, 0, seed);
        let mut accepted_second = 0;
        let limit = |now: Millis, _| {
            let second = (now / 1_000.0) as u64;
            if second != accepted_second {
                accepted_second = second;
                return OK;
            }
            rejected(0.0)
        };
        let calls = play_calls(&mut harness, messages(0..80), 9_000.0, &mut BTreeMap::new(), limit);
        at_the_limit += calls.len();
    }
    assert!(
        at_the_limit >= 20 * 18,
        "{at_the_limit} calls in 20 times 9 s where one in each second is accepted"
    );
}

#[test]
fn routes_with_their_own_limits_have_their_own_outages() {
    let mut harness = with_routes(1..=2, 1, 3);
    let returned_at = harness.now + 9_000.0;
    let answer = |now: Millis, route| {
        if route == 1 && now < returned_at { rejected(returned_at - now) } else { OK }
    };
    let calls = play_calls(&mut harness, messages(0..60), 6_000.0, &mut BTreeMap::new(), answer);
    let other = calls.iter().filter(|call| call.route == 2).count();
    assert!(other >= 25, "{other} by the other route in 6 s at a rate of 5 per second");
    assert_eq!(calls.iter().filter(|call| call.route == 1 && call.at > returned_at - 8_500.0).count(), 0);
}
