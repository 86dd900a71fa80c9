//! Tests of the Retry-After of rejections.

use super::IDEMPOTENT;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::Outcome;
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

/// A Retry-After delays the calls by all routes of the destination, or by one route if each route has its own
/// limit.
#[test]
fn a_retry_after_applies_to_the_scope_of_the_limit() {
    for (kind, other_route_used) in [(0, false), (1, true)] {
        let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
        harness.step(0.0, &[list(vec![entry(1, 0, kind, 0), entry(2, 0, kind, 1)])]);
        let first = harness.step(5.0, &[message(1, 0, 0)]);
        assert_eq!(sends(&first).len(), 1);
        let mut actions = harness.step(50.0, &[outcome(1, 0, Outcome::Rejected, 2_000.0)]);
        actions.extend(harness.run(1_900.0));
        assert_eq!(!sends(&actions).is_empty(), other_route_used, "kind {kind}");
    }
}

#[test]
fn the_retry_after_of_each_message_of_a_call_counts() {
    // The outcomes of two messages of one rejected call arrive in separate batches of events.
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 2, 0)])]);
    let sent = harness.step(5.0, &[message(1, 0, 0), message(2, 0, 0)]);
    assert_eq!(sends(&sent), [(1, 1), (2, 1)]);
    harness.step(50.0, &[outcome(1, 0, Outcome::Rejected, 1_000.0)]);
    harness.step(10.0, &[outcome(2, 0, Outcome::Rejected, 1_000.0)]);
    let actions = harness.run(980.0);
    assert!(sends(&actions).is_empty(), "{actions:?}");
}
