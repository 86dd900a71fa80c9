use std::time::Duration;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal as journal;
use tokio::time::Instant;

use super::{Backlog, RecoveredMessage};

/// A message whose class has this value, with a deadline `time_left_ms` after `now`.
fn message(now: Instant, message_id: &str, value: f64, time_left_ms: u64) -> RecoveredMessage {
    RecoveredMessage {
        class: 0,
        value,
        deadline: now + Duration::from_millis(time_left_ms),
        possibly_executed: None,
        message: journal::Message {
            message_id: message_id.into(),
            class: "c".into(),
            tenant: "".into(),
            destination: 7,
            idempotency_key: None,
            deadline: UnixMillis::EPOCH,
            body: Bytes::new(),
            attempts: 0,
            possibly_executed: None,
            in_flight: None,
        },
    }
}

fn message_ids(messages: &[RecoveredMessage]) -> Vec<&str> {
    messages.iter().map(|recovered| &*recovered.message.message_id).collect()
}

#[test]
fn messages_are_taken_by_value_then_deadline_then_id() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.extend([
        message(now, "d", 1.0, 500),
        message(now, "c", 1.0, 400),
        message(now, "b", 1.0, 400),
        message(now, "a", 2.0, 900),
    ]);
    assert_eq!(message_ids(&backlog.take(3, now)), ["a", "b", "c"]);
    assert_eq!(backlog.len(), 1);
}

#[test]
fn messages_past_their_deadline_are_taken_without_capacity() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    backlog.extend([message(now, "late", 1.0, 0), message(now, "early", 1.0, 1)]);
    assert_eq!(message_ids(&backlog.take(0, now)), ["late"]);
    assert_eq!(message_ids(&backlog.take(1, now)), ["early"]);
    assert!(backlog.is_empty());
}
