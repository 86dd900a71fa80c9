//! The slots of a sender, and lost calls.

use super::idempotent_settings;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::{Action, Effect, Event, MessageHandle, Outcome, RouteEntry, Settings};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

/// Calls in flight to a busy destination once one call hangs; with `answered`, others sent later were
/// answered.
fn calls_beside_a_hung_one(answered: bool) -> usize {
    let settings = Settings { slots: 6, ..idempotent_settings() };
    let mut harness = Harness::new(settings, 1);
    let hot = RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) };
    harness.step(0.0, &[list(vec![hot])]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    if answered {
        for n in 1..4 {
            assert_eq!(sends(&harness.step(200.0, &[message(n, 0, 0)])).len(), 1);
            harness.step(100.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
        }
    }
    let wait = if answered { 500.0 } else { 1_400.0 };
    let mut sent = sends(&harness.step(wait, &(10..30).map(|n| message(n, 0, 0)).collect::<Vec<_>>())).len();
    // Draws are spaced out; no call is answered meanwhile.
    for _ in 0..20 {
        sent += sends(&harness.step(5.0, &[])).len();
    }
    1 + sent
}

/// A connection that breaks without notice loses one call. Beside answered calls, it took most of the slots
/// from its destination.
#[test]
fn a_lost_call_takes_no_slots_from_its_destination_and_an_unresponsive_route_does() {
    assert_eq!(calls_beside_a_hung_one(true), 5);
    assert_eq!(calls_beside_a_hung_one(false), 3);
}

/// Two processes of one sender share its slots.
#[test]
fn slots_that_another_process_uses_are_not_used() {
    let settings = Settings { slots: 6, ..idempotent_settings() };
    let mut harness = Harness::new(settings, 1);
    let hot = |n| RouteEntry { rate: 1_000.0, ..entry(u64::from(n) + 1, n, 0, 0) };
    harness.policy.set_slots_used_by_peer(4);
    let messages: Vec<Event> = (0..6).map(|n| message(n, 0, n as u16)).collect();
    harness.step(0.0, &[list((0..6).map(hot).collect())]);
    assert_eq!(sends(&harness.step(1_000.0, &messages)).len(), 2);
    harness.policy.set_slots_used_by_peer(0);
    assert_eq!(sends(&harness.step(1_000.0, &[message(9, 0, 0)])).len(), 4);
    // One slot is left even if the other process uses all, else the messages here would starve.
    harness.policy.set_slots_used_by_peer(6);
    let answers: Vec<Event> = (0..6).map(|n| outcome(n, 0, Outcome::Ok, 0.0)).collect();
    assert_eq!(sends(&harness.step(5.0, &answers)), [(9, 1)]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(20, 0, 0), message(21, 0, 1)])), []);
}

/// The actions that cancel a call which hangs, after `answered` later ones were answered; at the end a
/// message waits, and both slots are in use if `full`.
fn cancelled(answered: u32, full: bool, effect: Effect) -> Vec<Action> {
    let settings =
        Settings { slots: if full { 2 } else { 9 }, cancelling: true, ..settings(vec![class(effect)]) };
    let mut harness = Harness::new(settings, 1);
    harness.step(0.0, &[list(vec![RouteEntry { rate: 1_000.0, ..entry(1, 0, 0, 0) }])]);
    assert_eq!(sends(&harness.step(1_000.0, &[message(0, 0, 0)])).len(), 1);
    for n in 1..=answered {
        assert_eq!(sends(&harness.step(50.0, &[message(n, 0, 0)])).len(), 1, "message {n}");
        harness.step(50.0, &[outcome(n, 0, Outcome::Ok, 0.0)]);
    }
    let left = 1_400.0 - f64::from(answered) * 100.0;
    let mut done = harness.step(left, &[message(20, 0, 0)]);
    done.extend(harness.step(5.0, &[message(21, 0, 0)]));
    done.extend(harness.step(5.0, &[message(22, 0, 0)]));
    done.retain(|action| matches!(action, Action::Cancel { .. }));
    done
}

#[test]
fn a_lost_call_is_cancelled_once_when_its_slot_is_needed() {
    let lost = Action::Cancel { id: MessageHandle(0), attempt: 0 };
    assert_eq!(cancelled(10, true, Effect::Idempotent), [lost]);
    assert_eq!(cancelled(10, false, Effect::Idempotent), []);
    assert_eq!(cancelled(9, true, Effect::Idempotent), []);
    // A message that must not be repeated is not cancelled.
    assert_eq!(cancelled(10, true, Effect::NotIdempotent), []);
}
