//! Outages that are remembered over a restart.

use std::collections::BTreeMap;

use super::{OK, assert_one_probe_and_one_ramp, messages, ramp_of_one, with_routes};
use crate::common::{play_calls, sends};
use rudderspindle_policy::interface::{
    Action, DestinationId, Event, LimitScope, OutageState, Outcome, PersistedOutage, RouteId,
};
use rudderspindle_simulation::fixtures::outcome;

#[test]
fn a_restarted_sender_continues_the_remembered_outage() {
    for (kind, route) in [(0, None), (1, Some(RouteId(1)))] {
        for seed in 0..20 {
            // Down within a Retry-After: one probe starts once it is over.
            let mut harness = with_routes(1..=1, kind, seed);
            let returned_at = harness.now + 4_000.0;
            let scope = LimitScope { destination: DestinationId(0), route };
            let remembered = |outage| Event::PersistedOutage(PersistedOutage { scope, outage });
            let mut first = vec![remembered(OutageState::Down { retry_after_remaining: 4_000.0 })];
            first.extend(messages(0..80));
            let calls = play_calls(&mut harness, first, 9_000.0, &mut BTreeMap::new(), |_, _| OK);
            assert!(
                calls.iter().all(|call| call.at >= returned_at),
                "seed {seed}: sent within the Retry-After"
            );
            assert_one_probe_and_one_ramp(&calls, returned_at, &format!("kind {kind}, seed {seed}"));
            // Warming up for 1 s: the ramp continues.
            let mut harness = with_routes(1..=1, kind, seed);
            let now = harness.now;
            let mut first =
                vec![remembered(OutageState::WarmingUp { since_recovery: 1_000.0, ramp_share: 0.5 })];
            first.extend(messages(0..80));
            let calls = play_calls(&mut harness, first, 2_000.0, &mut BTreeMap::new(), |_, _| OK);
            let bound = 1.0 + 1.35 * (ramp_of_one(3.0) - ramp_of_one(1.0));
            assert!((calls.len() as f64) <= bound, "kind {kind}, seed {seed}: {} after {now}", calls.len());
        }
    }
}

#[test]
fn an_outage_is_reported_once_for_each_change() {
    let mut harness = with_routes(1..=2, 0, 5);
    let mut reported = Vec::new();
    let mut record = |actions: Vec<Action>| {
        for action in &actions {
            if let Action::PersistOutage { scope, outage } = action {
                let shared = LimitScope { destination: DestinationId(0), route: None };
                assert_eq!(*scope, shared, "routes that share a limit");
                reported.push(*outage);
            }
        }
        sends(&actions)
    };
    let first = record(harness.step(5.0, &messages(0..3)));
    assert!(!first.is_empty());
    for (n, &(id, _)) in first.iter().enumerate() {
        record(harness.step(1.0, &[outcome(id, 0, Outcome::Rejected, 9_000.0 - n as f64)]));
    }
    record(harness.step(1_000.0, &[]));
    let mut probe = Vec::new();
    while probe.is_empty() {
        probe = record(harness.step(50.0, &[]));
    }
    let attempt = u32::from(first.iter().any(|(id, _)| *id == probe[0].0));
    record(harness.step(50.0, &[outcome(probe[0].0, attempt, Outcome::Ok, 0.0)]));
    assert_eq!(reported[0], OutageState::Down { retry_after_remaining: 9_000.0 }, "{reported:?}");
    let last = reported.last().expect("a report");
    assert_eq!(*last, OutageState::WarmingUp { since_recovery: 0.0, ramp_share: 0.5 }, "{reported:?}");
    assert!(reported.len() <= 1 + first.len(), "{reported:?}");
}
