//! Tests of the scope of an outage: all routes of a destination, or one route.

use std::collections::BTreeMap;

use rudderspindle_simulation::SeededRng;

use super::{
    NO_CONNECTION, OK, answers_until, assert_one_probe_and_one_ramp, harness_with_routes, messages,
    ramp_calls_of_one_sender, rejected, rejects_until,
};
use crate::common::{Answer, play_calls};
use rudderspindle_policy::interface::{Millis, Outcome, RouteEntry};
use rudderspindle_simulation::fixtures::{entry, list};

/// All routes together get one probe and one recovery ramp.
#[test]
fn a_long_retry_after_of_one_route_is_an_outage_of_all_routes() {
    for seed in 0..20 {
        let mut harness = harness_with_routes(1..=4, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let answer = rejects_until(recovered_at);
        let calls = play_calls(&mut harness, messages(0..80), 14_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("seed {seed}"));
    }
}

#[test]
fn a_success_of_a_call_from_before_the_outage_does_not_end_it() {
    for seed in 0..20 {
        let mut harness = harness_with_routes(1..=2, 0, seed);
        let down_at = harness.now + 1_000.0;
        let recovered_at = harness.now + 13_000.0;
        let mut first_call = true;
        let answer = |now: Millis, _| match now {
            // The first call is sent before the outage, and succeeds after others have been rejected.
            _ if now < down_at && std::mem::take(&mut first_call) => Answer::new(1_400.0, Outcome::Ok),
            _ if now < down_at => OK,
            _ if now < recovered_at => rejected(recovered_at - now),
            _ => OK,
        };
        let calls = play_calls(&mut harness, messages(0..100), 18_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("seed {seed}"));
    }
}

/// The shared outage is detected before each single route has failed often. All routes are probed during the
/// outage.
#[test]
fn refused_connections_at_all_routes_are_one_shared_outage() {
    for seed in 0..20 {
        let mut harness = harness_with_routes(1..=4, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let answer = answers_until(recovered_at, NO_CONNECTION);
        let calls = play_calls(&mut harness, messages(0..80), 13_000.0, &mut BTreeMap::new(), answer);
        let early_calls = calls.iter().filter(|call| call.at < recovered_at - 8_000.0).count();
        assert!(
            early_calls <= 8,
            "seed {seed}: {early_calls} calls in the first second of an outage: must be at most 8"
        );
        assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("seed {seed}"));
        let routes: std::collections::BTreeSet<u64> =
            calls.iter().filter(|call| call.at < recovered_at).map(|call| call.route).collect();
        assert_eq!(routes.len(), 4, "seed {seed}: each of the 4 routes must be probed");
    }
}

#[test]
fn most_routes_without_an_answer_are_an_outage_of_all() {
    for seed in 0..20 {
        let mut harness = harness_with_routes(1..=3, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let answer = answers_until(recovered_at, Answer::new(3_000.0, Outcome::Timeout));
        // At first there is one message for each route, so that no single route has two calls without an
        // answer.
        let mut attempts = BTreeMap::new();
        let mut calls = play_calls(&mut harness, messages(0..3), 1_500.0, &mut attempts, answer);
        calls.extend(play_calls(&mut harness, messages(3..80), 11_500.0, &mut attempts, answer));
        let outage_calls = calls.iter().filter(|call| call.at < recovered_at).count();
        assert!(
            outage_calls <= 12,
            "seed {seed}: {outage_calls} calls without an answer: must be at most 12"
        );
        assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("seed {seed}"));
    }
}

#[test]
fn routes_added_or_moved_during_an_outage_are_part_of_it() {
    let added: Vec<RouteEntry> = (1..=4).map(|route| entry(route, 0, 0, 0)).collect();
    // Routes with new ids, at the addresses of the removed routes.
    let moved: Vec<RouteEntry> = (11..=12).map(|route| entry(route, 0, 0, 0)).collect();
    for (change_name, entries) in [("added", added), ("moved", moved)] {
        for seed in 0..20 {
            let mut harness = harness_with_routes(1..=2, 0, seed);
            let recovered_at = harness.now + 9_000.0;
            let mut attempts = BTreeMap::new();
            let answer = answers_until(recovered_at, NO_CONNECTION);
            let mut calls = play_calls(&mut harness, messages(0..80), 5_000.0, &mut attempts, answer);
            let change = vec![list(entries.clone())];
            let earlier_call_count = calls.len();
            calls.extend(play_calls(&mut harness, change, 8_000.0, &mut attempts, answer));
            let early_calls =
                calls[earlier_call_count..].iter().filter(|call| call.at < recovered_at - 3_500.0).count();
            assert!(
                early_calls <= 2,
                "{change_name}, seed {seed}: {early_calls} calls in 0.5 s by new routes: must be at most 2"
            );
            assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("{change_name}, seed {seed}"));
        }
    }
}

#[test]
fn one_failing_route_does_not_take_healthy_routes_down() {
    for failure in [NO_CONNECTION, Answer::new(10.0, Outcome::Error)] {
        for seed in 0..20 {
            let mut harness = harness_with_routes(1..=3, 0, seed);
            let answer = |_, route| if route == 2 { failure } else { OK };
            let calls = play_calls(&mut harness, messages(0..60), 10_000.0, &mut BTreeMap::new(), answer);
            let healthy_calls = calls.iter().filter(|call| call.route != 2).count();
            assert!(
                healthy_calls >= 45,
                "seed {seed}: {healthy_calls} calls by healthy routes in 10 s: must be at least 45"
            );
            assert!(
                calls.len() - healthy_calls <= 20,
                "seed {seed}: the failing route got more than 20 calls"
            );
        }
    }
}

#[test]
fn errors_of_most_routes_start_slow_start_for_all() {
    let mut without_slow_start = 0;
    for seed in 0..40 {
        let mut harness = harness_with_routes(1..=4, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let mut rng = SeededRng::new(seed);
        let answer = |now: Millis, _| {
            if now < recovered_at && rng.unit() < 0.72 { Answer::new(20.0, Outcome::Error) } else { OK }
        };
        let calls = play_calls(&mut harness, messages(0..90), 13_000.0, &mut BTreeMap::new(), answer);
        let early_calls =
            calls.iter().filter(|call| (recovered_at..recovered_at + 3_000.0).contains(&call.at)).count()
                as f64;
        // The bound is higher than after an outage, because the last error may have been long before the
        // recovery.
        without_slow_start += usize::from(early_calls > 2.0 + 1.35 * ramp_calls_of_one_sender(3.0));
    }
    assert!(without_slow_start <= 2, "{without_slow_start} of 40 runs without slow start: must be at most 2");
}

/// Rejections are an outage if no call is accepted for longer than the window of a limit.
#[test]
fn rejections_of_all_calls_for_seconds_are_an_outage() {
    let mut limited_call_count = 0;
    for seed in 0..20 {
        let mut harness = harness_with_routes(1..=2, 0, seed);
        let recovered_at = harness.now + 9_000.0;
        let answer = answers_until(recovered_at, rejected(0.0));
        let calls = play_calls(&mut harness, messages(0..80), 13_000.0, &mut BTreeMap::new(), answer);
        assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("seed {seed}"));
        // One call of each second is accepted: other senders use the rest of the limit, and there is no
        // outage.
        let mut harness = harness_with_routes(1..=2, 0, seed);
        let mut accepted_second = 0;
        let limited_answer = |now: Millis, _| {
            let second = (now / 1_000.0) as u64;
            if second != accepted_second {
                accepted_second = second;
                return OK;
            }
            rejected(0.0)
        };
        let calls = play_calls(&mut harness, messages(0..80), 9_000.0, &mut BTreeMap::new(), limited_answer);
        limited_call_count += calls.len();
    }
    assert!(
        limited_call_count >= 20 * 18,
        "{limited_call_count} calls in 20 runs of 9 s: must be at least 360"
    );
}

#[test]
fn routes_with_their_own_limits_have_their_own_outages() {
    let mut harness = harness_with_routes(1..=2, 1, 3);
    let recovered_at = harness.now + 9_000.0;
    let answer = |now: Millis, route| {
        if route == 1 && now < recovered_at { rejected(recovered_at - now) } else { OK }
    };
    let calls = play_calls(&mut harness, messages(0..60), 6_000.0, &mut BTreeMap::new(), answer);
    let other_route_calls = calls.iter().filter(|call| call.route == 2).count();
    assert!(
        other_route_calls >= 25,
        "{other_route_calls} calls by the other route in 6 s: must be at least 25"
    );
    assert_eq!(calls.iter().filter(|call| call.route == 1 && call.at > recovered_at - 8_500.0).count(), 0);
}
