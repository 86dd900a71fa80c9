//! Tests of messages with ordering keys.

use super::IDEMPOTENT;
use crate::common::{Harness, keyed_message, sends};
use rudderspindle_policy::interface::{AttemptResult, Class, Event, MessageHandle, Outcome};
use rudderspindle_simulation::fixtures::{class, entry, list, settings};

/// After a time-out the key pauses, because the receiver may still execute the message.
#[test]
fn an_ordering_key_sends_one_message_at_a_time_and_pauses() {
    let ordered = Class { ordered: true, ..class(IDEMPOTENT) };
    let mut harness = Harness::new(settings(vec![ordered]), 1);
    let first = harness
        .step(0.0, &[list(vec![entry(1, 0, 0, 0)]), keyed_message(1, 0, 0, 9), keyed_message(2, 0, 0, 9)]);
    assert_eq!(sends(&first), [(1, 1)]);
    let completed = AttemptResult {
        id: MessageHandle(1),
        attempt: 0,
        outcome: Outcome::Timeout,
        retry_after: 0.0,
        completed: true,
    };
    let actions = harness.step(10.0, &[Event::Outcome(completed)]);
    assert!(sends(&actions).is_empty());
    let paused_at = harness.now;
    let next = harness.run(3_000.0);
    assert_eq!(sends(&next), [(2, 1)]);
    assert!(
        harness.now - paused_at >= 500.0,
        "the key paused for {} ms: must be at least 500 ms",
        harness.now - paused_at
    );
}
