//! Tests of outage states that are persisted and restored after a restart.

use std::collections::BTreeMap;

use super::{OK, assert_one_probe_and_one_ramp, harness_with_routes, messages, ramp_calls_of_one_sender};
use crate::common::{play_calls, sends};
use rudderspindle_policy::interface::{
    Action, DestinationId, Event, LimitScope, OutageState, Outcome, PersistedOutage, RouteId,
};
use rudderspindle_simulation::fixtures::outcome;

#[test]
fn a_restarted_sender_restores_the_persisted_outage() {
    for (kind, route) in [(0, None), (1, Some(RouteId(1)))] {
        for seed in 0..20 {
            // The persisted state is down, within a Retry-After: one probe is sent when the Retry-After ends.
            let mut harness = harness_with_routes(1..=1, kind, seed);
            let recovered_at = harness.now + 4_000.0;
            let scope = LimitScope { destination: DestinationId(0), route };
            let persisted = |outage| Event::PersistedOutage(PersistedOutage { scope, outage });
            let mut initial_events = vec![persisted(OutageState::Down { retry_after_remaining: 4_000.0 })];
            initial_events.extend(messages(0..80));
            let calls = play_calls(&mut harness, initial_events, 9_000.0, &mut BTreeMap::new(), |_, _| OK);
            assert!(
                calls.iter().all(|call| call.at >= recovered_at),
                "kind {kind}, seed {seed}: sent within the Retry-After"
            );
            assert_one_probe_and_one_ramp(&calls, recovered_at, &format!("kind {kind}, seed {seed}"));
            // The persisted state is warming up since 1 s: the recovery ramp continues.
            let mut harness = harness_with_routes(1..=1, kind, seed);
            let started_at = harness.now;
            let mut initial_events =
                vec![persisted(OutageState::WarmingUp { since_recovery: 1_000.0, ramp_share: 0.5 })];
            initial_events.extend(messages(0..80));
            let calls = play_calls(&mut harness, initial_events, 2_000.0, &mut BTreeMap::new(), |_, _| OK);
            let bound = 1.0 + 1.35 * (ramp_calls_of_one_sender(3.0) - ramp_calls_of_one_sender(1.0));
            assert!(
                (calls.len() as f64) <= bound,
                "kind {kind}, seed {seed}: {} calls from {started_at} ms on: must be at most {bound:.1}",
                calls.len()
            );
        }
    }
}

#[test]
fn an_outage_is_reported_once_for_each_change() {
    let mut harness = harness_with_routes(1..=2, 0, 5);
    let mut reported = Vec::new();
    let mut record = |actions: Vec<Action>| {
        for action in &actions {
            if let Action::PersistOutage { scope, outage } = action {
                let shared = LimitScope { destination: DestinationId(0), route: None };
                assert_eq!(*scope, shared, "routes that share a limit must share the outage");
                reported.push(*outage);
            }
        }
        sends(&actions)
    };
    let first_sends = record(harness.step(5.0, &messages(0..3)));
    assert!(!first_sends.is_empty());
    for (number, &(id, _)) in first_sends.iter().enumerate() {
        record(harness.step(1.0, &[outcome(id, 0, Outcome::Rejected, 9_000.0 - number as f64)]));
    }
    record(harness.step(1_000.0, &[]));
    let mut probe_sends = Vec::new();
    while probe_sends.is_empty() {
        probe_sends = record(harness.step(50.0, &[]));
    }
    let attempt = u32::from(first_sends.iter().any(|(id, _)| *id == probe_sends[0].0));
    record(harness.step(50.0, &[outcome(probe_sends[0].0, attempt, Outcome::Ok, 0.0)]));
    assert_eq!(reported[0], OutageState::Down { retry_after_remaining: 9_000.0 }, "{reported:?}");
    let last = reported.last().expect("at least one outage state reported");
    assert_eq!(*last, OutageState::WarmingUp { since_recovery: 0.0, ramp_share: 0.5 }, "{reported:?}");
    assert!(reported.len() <= 1 + first_sends.len(), "{reported:?}");
}
