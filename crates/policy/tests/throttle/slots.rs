//! Tests of the slots of a sender, and of lost calls.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{Action, Effect, Event, MessageHandle, Outcome, RouteEntry, Settings};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

/// Returns the number of calls in flight to a destination with many waiting messages. One call hangs and is
/// overdue; if `later_calls_answered`, three later calls have been answered.
fn calls_in_flight_with_one_hanging(later_calls_answered: bool) -> usize {
    let settings = Settings { slots: 6, ..idempotent_settings() };
    let mut harness = Harness::new(settings, 1);
    let high_rate_entry = RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) };
    harness.step(0.0, &[list(vec![high_rate_entry])]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    if later_calls_answered {
        for n in 1..4 {
            assert_eq!(sends(&harness.step(200.0, &[message(n, 0, 0)])).len(), 1);
            harness.step(100.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
        }
    }
    let elapsed = if later_calls_answered { 500.0 } else { 1_400.0 };
    let mut sent =
        sends(&harness.step(elapsed, &(10..30).map(|n| message(n, 0, 0)).collect::<Vec<_>>())).len();
    // The policy spaces out its draws. No call is answered during these steps.
    for _ in 0..20 {
        sent += sends(&harness.step(5.0, &[])).len();
    }
    1 + sent
}

/// A connection that breaks without notice loses one call. Because of one lost call a destination once could
/// use few of the slots, although its other calls were answered. Only an unresponsive route, which answers no
/// call, may reduce the slots of its destination.
#[test]
fn a_lost_call_does_not_reduce_the_slots_of_its_destination() {
    assert_eq!(calls_in_flight_with_one_hanging(true), 5);
    assert_eq!(calls_in_flight_with_one_hanging(false), 3);
}

/// Two processes of one sender share its slots.
#[test]
fn slots_that_another_process_uses_are_not_used() {
    let settings = Settings { slots: 6, ..idempotent_settings() };
    let mut harness = Harness::new(settings, 1);
    let high_rate_entry = |n| RouteEntry { rate: 1_000.0, ..entry(u64::from(n) + 1, n, 0, 0) };
    harness.policy.set_slots_used_by_peer(4);
    let messages: Vec<Event> = (0..6).map(|n| message(n, 0, n as u16)).collect();
    harness.step(0.0, &[list((0..6).map(high_rate_entry).collect())]);
    assert_eq!(sends(&harness.step(1_000.0, &messages)).len(), 2);
    harness.policy.set_slots_used_by_peer(0);
    assert_eq!(sends(&harness.step(1_000.0, &[message(9, 0, 0)])).len(), 4);
    // One slot stays available even if the other process uses all of them, because the messages of this
    // process would starve otherwise.
    harness.policy.set_slots_used_by_peer(6);
    let answers: Vec<Event> = (0..6).map(|n| outcome(n, 0, Outcome::Ok, 0.0)).collect();
    assert_eq!(sends(&harness.step(5.0, &answers)), [(9, 1)]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(20, 0, 0), message(21, 0, 1)])), []);
}

/// Returns the actions that cancel a hanging call after `answered` later calls were answered. At the end a
/// message waits; if `all_slots_used`, the sender has two slots, and both are in use.
fn cancel_actions(answered: u32, all_slots_used: bool, effect: Effect) -> Vec<Action> {
    let settings = Settings {
        slots: if all_slots_used { 2 } else { 9 },
        cancelling: true,
        ..settings(vec![class(effect)])
    };
    let mut harness = Harness::new(settings, 1);
    harness.step(0.0, &[list(vec![RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) }])]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    for n in 1..=answered {
        assert_eq!(sends(&harness.step(50.0, &[message(n, 0, 0)])).len(), 1, "message {n}");
        harness.step(50.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let elapsed = 1_400.0 - f64::from(answered) * 100.0;
    let mut actions = harness.step(elapsed, &[message(20, 0, 0)]);
    actions.extend(harness.step(5.0, &[message(21, 0, 0)]));
    actions.extend(harness.step(5.0, &[message(22, 0, 0)]));
    actions.retain(|action| matches!(action, Action::Cancel { .. }));
    actions
}

#[test]
fn a_lost_call_is_cancelled_once_when_its_slot_is_needed() {
    let lost = Action::Cancel { id: MessageHandle(0), attempt: 0 };
    assert_eq!(cancel_actions(10, true, Effect::Idempotent), [lost]);
    assert_eq!(cancel_actions(10, false, Effect::Idempotent), []);
    assert_eq!(cancel_actions(9, true, Effect::Idempotent), []);
    // The attempt of a message that is not idempotent is not cancelled.
    assert_eq!(cancel_actions(10, true, Effect::NotIdempotent), []);
}
