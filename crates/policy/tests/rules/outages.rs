//! Tests of destinations in an outage.

use std::collections::BTreeMap;

use super::IDEMPOTENT;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::Outcome;
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

/// The sender has 20 slots. A destination that answers no call may use only some of them, so that calls to
/// other destinations can still start.
#[test]
fn an_unresponsive_destination_leaves_slots_to_others() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    // Route 1 leads to destination 0, which never answers, and route 2 to destination 1.
    let mut events = vec![list(vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)])];
    events.extend((0..60).map(|i| message(i, 0, 0)));
    let mut sent = sends(&harness.step(0.0, &events)).len();
    for _ in 0..100 {
        sent += sends(&harness.step(20.0, &[])).len();
    }
    assert!(sent <= 15, "a destination that never answered used {sent} of 20 slots: must be at most 15");
    let actions = harness.step(5.0, &[message(100, 0, 1)]);
    assert_eq!(sends(&actions), [(100, 2)]);
}

/// A destination with 40 waiting messages refuses all connections for 8 s.
#[test]
fn during_an_outage_only_a_few_probes_are_sent() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    let mut events = vec![list(vec![entry(1, 0, 0, 0)])];
    events.extend((0..40).map(|i| message(i, 0, 0)));
    let mut actions = harness.step(0.0, &events);
    let mut attempts = BTreeMap::new();
    let mut calls = 0;
    for _ in 0..80 {
        let mut failed = Vec::new();
        for (id, _) in sends(&actions) {
            let attempt: &mut u32 = attempts.entry(id).or_default();
            failed.push(outcome(id, *attempt, Outcome::ConnectFailed, 0.0));
            *attempt += 1;
            calls += 1;
        }
        actions = harness.step(100.0, &failed);
    }
    assert!(
        (4..=20).contains(&calls),
        "{calls} calls in 8 s to a destination that was down: must be 4 to 20"
    );
}
