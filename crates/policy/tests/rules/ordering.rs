//! Messages with ordering keys.

use super::IDEMPOTENT;
use crate::common::{Harness, keyed_message, sends};
use rudderspindle_policy::interface::{AttemptResult, Class, Event, MessageHandle, Outcome};
use rudderspindle_simulation::fixtures::{class, entry, list, settings};

#[test]
fn messages_of_an_ordering_key_go_one_at_a_time_and_the_key_pauses() {
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
    let done = harness.step(10.0, &[Event::Outcome(completed)]);
    assert!(sends(&done).is_empty());
    let before = harness.now;
    let next = harness.run(3_000.0);
    assert_eq!(sends(&next), [(2, 1)]);
    assert!(harness.now - before >= 500.0, "the key paused only {} ms", harness.now - before);
}
