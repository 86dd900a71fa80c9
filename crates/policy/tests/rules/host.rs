//! Tests of the interface to the host: wake-ups, determinism, unknown ids and invalid settings.

use rudderspindle_policy::Policy;

use super::IDEMPOTENT;
use crate::common::{Harness, message};
use rudderspindle_policy::interface::{
    Action, Effect, Event, KeyGroup, MessageHandle, Millis, Outcome, SettingsError,
};
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

#[test]
fn a_wake_up_is_requested_only_when_something_is_due() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    harness.step(0.0, &[list(vec![])]);
    let mut requested_wake: Option<(Millis, u64)> = None;
    let mut wake_count = 0;
    let mut events = vec![message(1, 0, 7)];
    for _ in 0..1_100 {
        for action in harness.step(10.0, &std::mem::take(&mut events)) {
            match action {
                Action::Wake { delay, token } => {
                    wake_count += 1;
                    requested_wake = Some((harness.now + delay, token));
                }
                Action::Refuse { .. } => {}
                other => panic!("{other:?}"),
            }
        }
        if let Some((_, token)) = requested_wake.take_if(|(due_at, _)| *due_at <= harness.now) {
            events.push(Event::Wake(token));
        }
    }
    assert!((1..=2).contains(&wake_count), "{wake_count} wake-ups for one waiting message: must be 1 or 2");
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    // Returns the actions of each policy; all policies handle the same events.
    let play = |policies: &mut [Policy]| {
        let mut actions_by_policy = vec![Vec::new(); policies.len()];
        let mut events = vec![list(vec![entry(1, 0, 0, 0), entry(2, 0, 0, 0)])];
        events.extend((0..30).map(|i| message(i, 0, 0)));
        for step in 0..50 {
            for (policy, actions) in policies.iter_mut().zip(&mut actions_by_policy) {
                policy.handle(f64::from(step) * 20.0, &events, actions);
            }
            events = vec![outcome(step as u32 % 30, 0, Outcome::Rejected, 0.0)];
        }
        actions_by_policy
    };
    let new_policy = || Policy::new(settings(vec![class(IDEMPOTENT)]), 42).expect("valid settings");
    let alone = play(&mut [new_policy()]);
    let other = Policy::new(settings(vec![class(IDEMPOTENT)]), 43).expect("valid settings");
    let together = play(&mut [new_policy(), other]);
    assert_eq!(alone[0], together[0]);
    assert_ne!(together[0], together[1]);
}

#[test]
fn unknown_ids_are_ignored_and_invalid_settings_are_an_error() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    let events =
        [outcome(99, 0, Outcome::Ok, 0.0), Event::ClientDisconnected(MessageHandle(5)), Event::Wake(77)];
    assert_eq!(harness.step(0.0, &events), []);
    assert_eq!(Policy::new(settings(vec![]), 1).err(), Some(SettingsError::NoClasses));
    let mut invalid = settings(vec![class(Effect::IdempotencyKey { group: KeyGroup::All, window: 0.0 })]);
    assert_eq!(Policy::new(invalid.clone(), 1).err(), Some(SettingsError::OutOfRange("key window")));
    invalid.classes = vec![class(IDEMPOTENT)];
    invalid.slots = 0;
    assert_eq!(Policy::new(invalid, 1).err(), Some(SettingsError::OutOfRange("slots")));
}
