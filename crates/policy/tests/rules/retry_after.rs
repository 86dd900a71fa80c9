//! Retry-After of rejections.

use super::IDEMPOTENT;
use crate::common::{Harness, message, sends};
use rudderspindle_policy::interface::Outcome;
use rudderspindle_simulation::fixtures::{class, entry, list, outcome, settings};

#[test]
fn a_retry_after_holds_for_the_destination_or_for_a_route_with_its_own_limit() {
    for (kind, other_route) in [(0, false), (1, true)] {
        let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
        harness.step(0.0, &[list(vec![entry(1, 0, kind, 0), entry(2, 0, kind, 1)])]);
        let first = harness.step(5.0, &[message(1, 0, 0)]);
        assert_eq!(sends(&first).len(), 1);
        let mut done = harness.step(50.0, &[outcome(1, 0, Outcome::Rejected, 2_000.0)]);
        done.extend(harness.run(1_900.0));
        assert_eq!(!sends(&done).is_empty(), other_route, "kind {kind}");
    }
}

#[test]
fn the_retry_after_of_each_message_of_a_batch_counts() {
    // lakeshore-zones big-1: the messages of a rejected call report in separate batches of events.
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), 1);
    harness.step(0.0, &[list(vec![entry(1, 0, 2, 0)])]);
    let sent = harness.step(5.0, &[message(1, 0, 0), message(2, 0, 0)]);
    assert_eq!(sends(&sent), [(1, 1), (2, 1)]);
    harness.step(50.0, &[outcome(1, 0, Outcome::Rejected, 1_000.0)]);
    harness.step(10.0, &[outcome(2, 0, Outcome::Rejected, 1_000.0)]);
    let done = harness.run(980.0);
    assert!(sends(&done).is_empty(), "{done:?}");
}
