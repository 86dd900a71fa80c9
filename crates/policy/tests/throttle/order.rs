//! Tests of the order of messages and of the choice of routes.

use super::{idempotent_settings, play};
use crate::common::{Answer, Harness, message, sends};
use rudderspindle_policy::interface::{Class, Effect, Outcome};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

#[test]
fn the_message_that_loses_most_value_by_waiting_is_sent_first() {
    let valuable = Class { value: 3.0, ..class(Effect::Idempotent) };
    let mut harness = Harness::new(settings(vec![class(Effect::Idempotent), valuable]), 1);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..10).map(|i| message(i, 0, 0)));
    events.extend((10..20).map(|i| message(i, 1, 0)));
    // All messages have waited for some time when the send rate allows their calls.
    let calls = play(&mut harness, events, 4_000.0, |_, _| Answer::new(50.0, Outcome::Ok));
    let later_messages: Vec<u32> = calls.iter().skip(5).take(5).map(|call| call.message).collect();
    assert!(
        later_messages.iter().all(|&id| id >= 10),
        "messages of less value were sent before more valuable ones: {calls:?}"
    );
}

#[test]
fn after_a_recent_failure_the_next_call_goes_to_another_route() {
    // A sender with few calls once retried a message four times in a row by the route that had just failed.
    let mut harness = Harness::new(idempotent_settings(), 5);
    harness.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)])]);
    assert_eq!(sends(&harness.step(5.0, &[message(1, 0, 0)])), [(1, 1)]);
    let mut actions = harness.step(50.0, &[outcome(1, 0, Outcome::ConnectFailed, 0.0)]);
    actions.extend(harness.run(1_000.0));
    assert_eq!(sends(&actions), [(1, 2)]);
    harness.step(50.0, &[outcome(1, 1, Outcome::Ok, 0.0)]);
    assert_eq!(
        sends(&harness.step(21_000.0, &[message(2, 0, 0)])),
        [(2, 1)],
        "the route in the sender's zone must be tried again later"
    );
}
