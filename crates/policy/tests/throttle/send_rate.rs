//! Tests of the rates of calls, of probes and of slow start.

use super::{idempotent_settings, play};
use crate::common::{Answer, Harness, message, sends};
use rudderspindle_policy::interface::{Outcome, RouteEntry};
use rudderspindle_simulation::fixtures::{entry, list, outcome};

#[test]
fn probes_keep_to_the_senders_share_of_the_limit() {
    // The probes of four senders once exhausted a limit that counts rejected calls.
    let mut settings = idempotent_settings();
    settings.peers_total = 4;
    let mut harness = Harness::new(settings, 5);
    let entry = RouteEntry { rate: 4.0, ..entry(1, 0, 0, 0) };
    let mut events = vec![list(vec![entry])];
    events.extend((0..50).map(|i| message(i, 0, 0)));
    let first = sends(&harness.step(0.0, &events));
    harness.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    // A Retry-After of 2,600 ms indicates an outage, so only probes are sent after its end.
    let calls = play(&mut harness, vec![], 8_600.0, |_, _| Answer::new(30.0, Outcome::ConnectFailed));
    assert!(
        (1..=5).contains(&calls.len()),
        "{} probes in 6 s: must be 1 to 5, as the sender's share is 6 calls",
        calls.len()
    );
}

#[test]
fn no_burst_of_calls_follows_a_retry_after() {
    // After a Retry-After all senders once sent the calls that had accumulated at the same time, and were
    // rejected again.
    let mut harness = Harness::new(idempotent_settings(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..20).map(|i| message(i, 0, 0)));
    harness.step(0.0, &events);
    harness.step(50.0, &[outcome(0, 0, Outcome::Rejected, 1_500.0)]);
    assert!(sends(&harness.run(1_480.0)).is_empty());
    for _ in 0..60 {
        let sent = sends(&harness.step(10.0, &[])).len();
        assert!(sent <= 1, "{sent} calls at once after a Retry-After: must be at most 1");
    }
}

#[test]
fn a_recovering_destination_is_not_overloaded() {
    // While it warms up, the destination accepts at least 0.2 of its 10 calls per second. More than twice
    // that for 3 s, which is 12 calls, overloads it.
    let mut harness = Harness::new(idempotent_settings(), 5);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..90).map(|i| message(i, 0, 0)));
    let first = sends(&harness.step(0.0, &events));
    harness.step(20.0, &[outcome(first[0].0, 0, Outcome::Rejected, 2_600.0)]);
    let calls = play(&mut harness, vec![], 9_000.0, |_, _| Answer::new(50.0, Outcome::Ok));
    let recovered_at = calls[0].at;
    let early_calls = calls.iter().filter(|call| call.at <= recovered_at + 3_000.0).count();
    assert!(
        (4..=12).contains(&early_calls),
        "{early_calls} calls in the first 3 s after the recovery: must be 4 to 12"
    );
}

#[test]
fn one_of_300_senders_delivers_messages_before_they_expire() {
    // An equal share of 3 calls per second is one call in 100 s for each sender. At that rate the second
    // message of a sender once expired while it waited.
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
fn one_of_300_senders_backs_off_from_a_rejecting_receiver() {
    // A limit that counts rejected calls remains exhausted if all senders retry soon after a rejection.
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
    assert!(
        (20..=60).contains(&calls),
        "{calls} calls for 20 messages, each rejected for 9.5 s: must be 20 to 60"
    );
}

/// A single burst above the limit once delayed hundreds of messages until they expired, although slots were
/// free: the send rate was reduced to a small part of the limit, and needed longer to recover than the
/// deadline of a message.
#[test]
fn the_send_rate_recovers_soon_after_a_burst_of_rejections() {
    let mut delivered = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(idempotent_settings(), seed);
        let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
        events.extend((0..80).map(|n| message(n, 0, 0)));
        let calls = play(&mut harness, events, 8_000.0, |call_number, _| {
            Answer::new(100.0, if (2..12).contains(&call_number) { Outcome::Rejected } else { Outcome::Ok })
        });
        delivered += calls.len().saturating_sub(10);
    }
    // The limit is 10 calls per second, and this sender may use all of it.
    assert!(delivered > 20 * 15, "{delivered} delivered in 20 runs of 8 s: must be above 300");
}
