//! The rate of calls, of probes and of slow start.

use super::{idempotent_settings, play};
use crate::common::{Answer, Harness, message, sends};
use rudderspindle_policy::interface::{Outcome, RouteEntry};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

#[test]
fn probes_keep_to_our_share_of_the_limit() {
    // lakeshore big-2: probes of four senders used up a limit that counts rejected calls.
    let mut settings = idempotent_settings();
    settings.peers_total = 4;
    let mut harness = Harness::new(settings, 5);
    let entry = RouteEntry { rate: 4.0, ..entry(1, 0, 0, 0) };
    let mut events = vec![list(vec![entry])];
    events.extend((0..50).map(|i| message(i, 0, 0)));
    let first = sends(&harness.step(0.0, &events));
    harness.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    // A Retry-After that long comes from an outage: once it is over there are only probes.
    let calls = play(&mut harness, vec![], 8_600.0, |_, _| Answer::new(30.0, Outcome::ConnectFailed));
    assert!((1..=5).contains(&calls.len()), "{} probes in 6 s, our share is 6 calls", calls.len());
}

#[test]
fn there_is_no_burst_after_a_retry_after() {
    // if28a67: after a Retry-After all senders sent their saved-up calls at once and were rejected again.
    let mut harness = Harness::new(idempotent_settings(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..20).map(|i| message(i, 0, 0)));
    harness.step(0.0, &events);
    harness.step(50.0, &[outcome(0, 0, Outcome::Rejected, 1_500.0)]);
    assert!(sends(&harness.run(1_480.0)).is_empty());
    for _ in 0..60 {
        let sent = sends(&harness.step(10.0, &[])).len();
        assert!(sent <= 1, "{sent} calls at once after a Retry-After");
    }
}

#[test]
fn a_returning_destination_is_not_overloaded() {
    // Warming up it takes at least 0.2 of 10 calls per second, and is overloaded above twice that for 3 s.
    let mut harness = Harness::new(idempotent_settings(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..90).map(|i| message(i, 0, 0)));
    let first = sends(&harness.step(0.0, &events));
    harness.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    let calls = play(&mut harness, vec![], 9_000.0, |_, _| Answer::new(50.0, Outcome::Ok));
    let returned_at = calls[0].at;
    let early = calls.iter().filter(|call| call.at <= returned_at + 3_000.0).count();
    assert!((4..=12).contains(&early), "{early} calls in the first 3 s, 12 are the budget");
}

#[test]
fn one_of_three_hundred_senders_delivers_messages_well_before_they_expire() {
    // gandhinagar-camp-later: an equal part of 3 calls per second is one in 100 s, and second messages
    // expired waiting.
    let mut settings = idempotent_settings();
    settings.peers_total = 300;
    for seed in 0..20 {
        let mut harness = Harness::new(settings.clone(), seed);
        let entry = RouteEntry { rate: 3.0, ..entry(1, 0, 0, 0) };
        let events = vec![list(vec![entry]), message(0, 0, 0), message(1, 0, 0)];
        let calls = play(&mut harness, events, 7_000.0, |_, _| Answer::new(50.0, Outcome::Ok));
        assert_eq!(calls.len(), 2, "{calls:?}");
    }
}

#[test]
fn one_of_three_hundred_senders_backs_off_from_a_receiver_that_rejects_all() {
    // taichung-senders-later: a limit that counts rejected calls stays used up while all retry soon.
    let mut settings = idempotent_settings();
    settings.peers_total = 300;
    let mut calls = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(settings.clone(), seed);
        let entry = RouteEntry { rate: 3.0, ..entry(1, 0, 0, 0) };
        calls += play(&mut harness, vec![list(vec![entry]), message(1, 0, 0)], 9_500.0, |_, _| {
            Answer::new(50.0, Outcome::Rejected)
        })
        .len();
    }
    assert!((20..=60).contains(&calls), "{calls} calls for 20 messages, each rejected for 9.5 s");
}

/// One overshoot delayed hundreds of messages until they had expired, with slots free: the send rate fell to
/// a small part of the limit, and its recovery took longer than a message's deadline.
#[test]
fn after_a_burst_of_rejections_the_send_rate_recovers_well_within_a_deadline() {
    let mut delivered = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        let mut first = vec![list(vec![entry(1, 0, 0, 0)])];
        first.extend((0..80).map(|n| message(n, 0, 0)));
        let calls = play(&mut harness, first, 8_000.0, |call, _| {
            Answer::new(100.0, if (2..12).contains(&call) { Outcome::Rejected } else { Outcome::Ok })
        });
        delivered += calls.len().saturating_sub(10);
    }
    // The limit is 10 calls per second, and all of it is this sender's.
    assert!(delivered > 20 * 15, "{delivered} in 20 times 8 s");
}
