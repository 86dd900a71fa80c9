//! Tests of the probability with which a message is dropped at a route.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{Event, MessageHandle, Millis, Outcome};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

#[test]
fn without_requests_nothing_is_dropped() {
    // (0 - 1.5 * 0) / (0 + 1) = 0: the first call is always sent.
    for seed in 0..50 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        let actions = harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
        assert_eq!(sends(&actions), [(1, 1)], "seed {seed}");
    }
}

/// Calls in flight do not count. Rejections count until they are older than the window.
#[test]
fn rejections_raise_the_drop_probability_until_they_age_out() {
    // Three calls rejected, none accepted: p = (3 - 0) / (3 + 1) = 0.75 for the next one. While the three
    // calls are still in flight, and once they have left the window, p = 0.
    let sent_fraction = |in_flight: bool, elapsed: Millis| {
        let mut sent = 0;
        for seed in 0..400 {
            let mut harness = Harness::new(idempotent_settings(), seed);
            harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
            for i in 0..3 {
                assert_eq!(sends(&harness.step(250.0, &[message(i, 0, 0)])), [(i, 1)]);
            }
            let mut answers = Vec::new();
            if !in_flight {
                answers.extend((0..3).map(|i| outcome(i, 0, Outcome::Rejected, 0.0)));
                answers.extend((0..3).map(|i| Event::ClientDisconnected(MessageHandle(i))));
            }
            harness.step(10.0, &answers);
            // Long enough for the first backoff to end, but not for a second one.
            let actions = harness.step(elapsed, &[message(9, 0, 0)]);
            sent += sends(&actions).len();
        }
        f64::from(sent as u32) / 400.0
    };
    let soon_after = sent_fraction(false, 500.0);
    assert!((0.18..0.32).contains(&soon_after), "fraction sent is {soon_after}: must be 0.18 to 0.32");
    assert_eq!(sent_fraction(true, 500.0), 1.0, "calls in flight must not count yet");
    assert_eq!(
        sent_fraction(false, 21_000.0),
        1.0,
        "counts must age out of the window, which is long for few calls"
    );
}

/// The message backs off only if it is dropped at all routes.
#[test]
fn a_message_dropped_at_one_route_tries_another_at_once() {
    let mut diverted = 0;
    for seed in 0..100 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        // Route 1 is preferred because it is in the sender's zone. Route 2 is in another zone and has its own
        // limit.
        harness.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)])]);
        assert_eq!(sends(&harness.step(5.0, &[message(1, 0, 0)])), [(1, 1)]);
        harness
            .step(5.0, &[outcome(1, 0, Outcome::Rejected, 0.0), Event::ClientDisconnected(MessageHandle(1))]);
        let actions = sends(&harness.step(500.0, &[message(2, 0, 0)]));
        assert_eq!(actions.len(), 1, "the message must be sent at once by one of the two routes");
        diverted += usize::from(actions[0].1 == 2);
    }
    // p = (1 - 0) / (1 + 1) = 0.5 at route 1.
    assert!((35..=65).contains(&diverted), "{diverted} of 100 sent by route 2: must be 35 to 65");
}

#[test]
fn a_message_counts_as_one_request_however_often_it_is_dropped() {
    // Each new draw for a waiting message once counted as a request, which increased the drop probability to
    // one. After three failed calls the first draw drops the message with 3/4 and each further one with 4/5,
    // so that 90% of the messages pass one of ten draws. If each drop counted, the draws would drop the
    // message with 3/4, 4/5, 5/6 and so on, and 77% would pass one of them.
    let mut sent = 0;
    for seed in 0..400 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)])]);
        for i in 0..3 {
            harness.step(250.0, &[message(i, 0, 0)]);
        }
        // Failed connections count like rejections, but do not change the send rate.
        let failed = (0..3).flat_map(|i| {
            [outcome(i, 0, Outcome::ConnectFailed, 0.0), Event::ClientDisconnected(MessageHandle(i))]
        });
        harness.step(10.0, &failed.collect::<Vec<_>>());
        let mut actions = harness.step(500.0, &[message(9, 0, 0)]);
        for _ in 0..120 {
            actions.extend(harness.step(10.0, &[]));
        }
        sent += sends(&actions).len();
    }
    assert!(sent >= 340, "{sent} of 400 sent within ten draws: must be at least 340");
}
