//! Tests of changes of the endpoint list.

use super::IDEMPOTENT;
use crate::common::{Harness, keyed_message, message, sends};
use rudderspindle_policy::interface::{
    Action, Class, Discovery, Event, ListChange, Listing, MessageHandle, RouteEntry,
};
use rudderspindle_simulation::fixtures::{class, entry, list, settings};

#[test]
fn a_draining_route_gets_no_new_calls() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 0, 0), entry(2, 0, 0, 0)])]);
    let draining = RouteEntry { listing: Listing::Draining, ..entry(1, 0, 0, 0) };
    let actions = harness.step(5.0, &[Event::List(ListChange::Delta(vec![draining])), message(1, 0, 0)]);
    assert_eq!(sends(&actions), [(1, 2)]);
}

/// The state of routes is kept when the list removes them, because they may be listed again. It must be
/// deleted within 91 s.
#[test]
fn the_state_of_removed_routes_is_deleted_after_a_while() {
    let ordered = Class { ordered: true, ..class(IDEMPOTENT) };
    let mut harness = Harness::new(settings(vec![ordered]), 1);
    for round in 0..10u64 {
        let routes =
            (round * 1_000..(round + 1) * 1_000).map(|route| entry(route, (route % 5_000) as u16, 0, 0));
        harness.step(5.0, &[list(routes.collect()), keyed_message(round as u32, 0, 6_000, round + 1)]);
        harness.step(5.0, &[Event::ClientDisconnected(MessageHandle(round as u32))]);
    }
    assert!(
        harness.policy.state_entry_count() >= 10_000,
        "the state of routes that were just removed must be kept"
    );
    harness.step(30_000.0, &[list(vec![])]);
    harness.step(61_000.0, &[list(vec![])]);
    harness.step(5.0, &[]);
    assert_eq!(
        harness.policy.state_entry_count(),
        0,
        "no state of removed routes or completed messages must be kept"
    );
}

#[test]
fn a_failed_subscription_to_the_list_is_retried() {
    let mut settings = settings(vec![class(IDEMPOTENT)]);
    settings.discovery = Discovery::OnRequest { ask_within: 10_000.0 };
    let mut harness = Harness::new(settings, 1);
    assert!(harness.step(0.0, &[]).contains(&Action::Subscribe));
    harness.step(10.0, &[Event::List(ListChange::Failed)]);
    assert_eq!(harness.run(5_000.0), [Action::Subscribe]);
}
