//! Tests of retries and of final outcomes.

use super::{IDEMPOTENT, KEYED_ZONE};
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{
    Action, Effect, Event, ListChange, Listing, MessageHandle, Outcome, RouteEntry,
};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

#[test]
fn a_message_without_routes_is_refused_before_it_expires() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    harness.step(0.0, &[list(vec![]), message(1, 0, 7)]);
    let actions = harness.run(11_000.0);
    assert_eq!(actions, [Action::Refuse { id: MessageHandle(1), retry_after: 0.0 }]);
    assert!(harness.now < 11_000.0, "the message expired before it was refused at {} ms", harness.now);
}

#[test]
fn a_time_out_at_the_deadline_gets_a_final_outcome() {
    let mut harness = Harness::new(settings(vec![class(Effect::NotIdempotent)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
    let actions = harness.step(10_000.0, &[outcome(1, 0, Outcome::Timeout, 0.0)]);
    assert!(actions.contains(&Action::Fail { id: MessageHandle(1) }));
}

/// A message that is not idempotent fails after an error or a closed connection, but is sent again after a
/// failed connect.
#[test]
fn a_possibly_executed_non_idempotent_message_is_not_retried() {
    for (first_outcome, retried) in
        [(Outcome::Error, false), (Outcome::Reset, false), (Outcome::ConnectFailed, true)]
    {
        let mut harness = Harness::new(settings(vec![class(Effect::NotIdempotent)]), 1);
        harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
        let mut actions = harness.step(50.0, &[outcome(1, 0, first_outcome, 0.0)]);
        actions.extend(harness.run(2_000.0));
        assert_eq!(!sends(&actions).is_empty(), retried, "{first_outcome:?}");
        assert_eq!(actions.contains(&Action::Fail { id: MessageHandle(1) }), !retried, "{first_outcome:?}");
    }
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_group_and_window() {
    let mut harness = Harness::new(settings(vec![class(KEYED_ZONE)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)]), message(1, 0, 0)]);
    harness.step(50.0, &[outcome(1, 0, Outcome::Timeout, 0.0)]);
    let removed = RouteEntry { listing: Listing::Removed, ..entry(1, 0, 1, 0) };
    let actions = harness.step(0.0, &[Event::List(ListChange::Delta(vec![removed]))]);
    assert!(sends(&actions).is_empty() || sends(&actions) == [(1, 1)], "{actions:?}");
    if sends(&actions).is_empty() {
        let actions = harness.run(6_000.0);
        assert!(sends(&actions).is_empty(), "{actions:?}");
    }
}
