//! Which messages are retried, refused or failed.

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
    let done = harness.run(11_000.0);
    assert_eq!(done, [Action::Refuse { id: MessageHandle(1), retry_after: 0.0 }]);
    assert!(harness.now < 11_000.0, "after its time: {}", harness.now);
}

#[test]
fn a_time_out_at_the_deadline_gets_a_final_outcome() {
    let mut harness = Harness::new(settings(vec![class(Effect::NotIdempotent)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
    let done = harness.step(10_000.0, &[outcome(1, 0, Outcome::Timeout, 0.0)]);
    assert!(done.contains(&Action::Fail { id: MessageHandle(1) }));
}

#[test]
fn a_possibly_executed_message_that_must_not_be_repeated_fails_without_a_retry() {
    for (seen, again) in [(Outcome::Error, false), (Outcome::Reset, false), (Outcome::ConnectFailed, true)] {
        let mut harness = Harness::new(settings(vec![class(Effect::NotIdempotent)]), 1);
        harness.step(0.0, &[list(vec![entry(1, 0, 0, 0)]), message(1, 0, 0)]);
        let mut done = harness.step(50.0, &[outcome(1, 0, seen, 0.0)]);
        done.extend(harness.run(2_000.0));
        assert_eq!(!sends(&done).is_empty(), again, "{seen:?}");
        assert_eq!(done.contains(&Action::Fail { id: MessageHandle(1) }), !again, "{seen:?}");
    }
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_group_and_window() {
    let mut harness = Harness::new(settings(vec![class(KEYED_ZONE)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 1, 0), entry(2, 0, 1, 1)]), message(1, 0, 0)]);
    harness.step(50.0, &[outcome(1, 0, Outcome::Timeout, 0.0)]);
    let gone = RouteEntry { listing: Listing::Removed, ..entry(1, 0, 1, 0) };
    let done = harness.step(0.0, &[Event::List(ListChange::Delta(vec![gone]))]);
    assert!(sends(&done).is_empty() || sends(&done) == [(1, 1)], "{done:?}");
    if sends(&done).is_empty() {
        let done = harness.run(6_000.0);
        assert!(sends(&done).is_empty(), "{done:?}");
    }
}
