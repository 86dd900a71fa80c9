//! Restarts, compaction and failed commits of a journal that one process uses.

mod model;
mod outage_records;
mod takeover;

use std::fs;
use std::path::PathBuf;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;

use super::Store;
use crate::MessageId;
use crate::message::{Message, PossibleExecution, Status};
use crate::record::{RecordKind, append_record, write_text};
use crate::segments::{segment_numbers, segment_path};

const BUDGET: u64 = 3_000_000;

fn message(message_id: &str, size: usize) -> Message {
    Message {
        message_id: message_id.into(),
        class: "safe".into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: Some(Bytes::from_static(b"key")),
        deadline: UnixMillis(5),
        body: Bytes::from(vec![b'x'; size]),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

fn execution(sent_at: u64) -> PossibleExecution {
    PossibleExecution { sent_at: UnixMillis(sent_at), receiver: "r1".into(), zone: "a".into() }
}

/// The pending messages and the ids of the pending notifications, each in the order of their ids.
fn state(store: &Store) -> (Vec<Message>, Vec<MessageId>) {
    let mut messages: Vec<Message> = store.pending_messages().cloned().collect();
    messages.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let mut notifications: Vec<MessageId> = store.pending_notifications().map(|n| n.message_id).collect();
    notifications.sort();
    (messages, notifications)
}

/// A kill before the oldest segment is deleted leaves some records twice. No pending message is lost, and no complete message
/// is restored.
#[test]
fn a_kill_during_compaction_changes_no_entry() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.accept(message("pending", 1_000));
    store.start_attempt(&"pending".into(), execution(1));
    store.accept(message("notified", 10));
    store.accept(message("completed", 10));
    store.commit().expect("written");
    store.finish_attempt(&"pending".into(), 0, true);
    store.start_attempt(&"pending".into(), execution(2));
    store.complete(&"notified".into(), Some(Status::Deferred(Some(70))));
    store.complete(&"completed".into(), None);
    store.commit().expect("written");
    let mut removed_segments = Vec::new();
    for n in 0..100 {
        // The segments that a kill just before the deletion of the oldest ones leaves.
        let before: Vec<(PathBuf, Vec<u8>)> = (segment_numbers(folder.path()).expect("readable").into_iter())
            .map(|number| segment_path(folder.path(), number))
            .map(|path| (path.clone(), fs::read(path).expect("readable")))
            .collect();
        let message_id: MessageId = format!("m{n}").into();
        store.accept(message(&message_id, 60_000));
        store.commit().expect("written");
        store.complete(&message_id, None);
        store.commit().expect("written");
        assert!(store.segments.disk_usage() <= BUDGET);
        removed_segments.extend(before.into_iter().filter(|(path, _)| !path.exists()));
    }
    assert!(!removed_segments.is_empty(), "no segment was removed");
    let expected = state(&store);
    assert_eq!(expected.0[0].attempts, 2);
    assert_eq!(expected.0[0].possibly_executed, Some(execution(1)));
    assert_eq!(expected.0[0].in_flight, Some(execution(2)));
    assert_eq!(expected.1, ["notified".into()] as [MessageId; 1]);
    drop(store);
    // The second attempt has no outcome, but the earlier possible execution is kept.
    let mut expected = expected;
    expected.0[0].in_flight = None;
    let reopened = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&reopened), expected);
    drop(reopened);
    for (path, bytes) in &removed_segments[removed_segments.len() - 1..] {
        fs::write(path, bytes).expect("writable");
    }
    let reopened = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&reopened), expected);
}

#[test]
fn a_failed_commit_accepts_no_message_and_keeps_every_completion() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.accept(message("m1", 10));
    store.commit().expect("written");
    store.budget = 0;
    store.complete(&"m1".into(), Some(Status::Undeliverable));
    store.accept(message("m2", 10));
    assert!(store.commit().is_err());
    store.discard(&"m2".into());
    store.budget = BUDGET;
    store.commit().expect("written");
    drop(store);
    let reopened = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&reopened), (vec![], vec!["m1".into()]));
}

/// When the earliest attempt of a pending message that may have been executed was started.
fn first_execution(store: &Store, message_id: &str) -> Option<u64> {
    let message = store.pending_message(&message_id.into()).expect("a pending message");
    let execution = message.possibly_executed.as_ref().or(message.in_flight.as_ref());
    execution.map(|execution| execution.sent_at.0)
}

/// A kill interrupts the first attempt. A second attempt is not executed, and another kill follows.
#[test]
fn an_attempt_interrupted_by_a_kill_stays_possibly_executed() {
    for written in [true, false] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
        store.accept(message("m1", 10));
        store.start_attempt(&"m1".into(), execution(1));
        store.commit().expect("written");
        drop(store);
        let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(first_execution(&store, "m1"), Some(1));
        store.start_attempt(&"m1".into(), execution(2));
        if !written {
            // The start of the second attempt is not recorded, so the attempt is not sent. Its outcome is recorded.
            store.budget = 0;
            store.commit().expect_err("no space");
            store.budget = BUDGET;
        }
        store.finish_attempt(&"m1".into(), 1, false);
        store.commit().expect("written");
        assert_eq!(first_execution(&store, "m1"), Some(1), "in memory, written: {written}");
        drop(store);
        let store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(first_execution(&store, "m1"), Some(1), "after a restart, written: {written}");
    }
}

/// Older versions did not store the attempt number of an outcome.
#[test]
fn an_outcome_without_number_finishes_the_attempt_in_flight() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.accept(message("m1", 10));
    store.start_attempt(&"m1".into(), execution(1));
    store.commit().expect("written");
    append_record(&mut store.retained_records, RecordKind::AttemptFinished, |payload| {
        write_text(payload, "m1");
        payload.push(0);
    });
    store.commit().expect("written");
    drop(store);
    let store = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(first_execution(&store, "m1"), None);
}

/// A recorded attempt is in the future if the clock was ahead or has been set back. The next start reports it; later starts
/// report it only while its message is pending.
#[test]
fn an_attempt_in_the_future_is_reported_once_unless_pending() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(store.latest_attempt(), UnixMillis::EPOCH);
    let ahead = UnixMillis::now().0 + 3_600_000;
    for (message_id, at) in [("completed", ahead), ("pending", ahead - 1)] {
        store.accept(message(message_id, 10));
        store.start_attempt(&message_id.into(), execution(at));
        store.commit().expect("written");
    }
    store.complete(&"completed".into(), None);
    store.commit().expect("written");
    for expected in [ahead, ahead - 1] {
        drop(store);
        store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(store.latest_attempt(), UnixMillis(expected));
        assert_eq!(first_execution(&store, "pending"), Some(ahead - 1));
    }
    store.complete(&"pending".into(), None);
    store.commit().expect("written");
    drop(store);
    // This start removes the segments that hold the future time, so the next one does not report it.
    drop(Store::open(folder.path(), BUDGET).expect("a journal"));
    assert_eq!(Store::open(folder.path(), BUDGET).expect("a journal").latest_attempt(), UnixMillis::EPOCH);
}

#[test]
fn the_ids_of_complete_messages_that_may_have_run_are_recovered_until_their_deadline() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    let deadline = UnixMillis::now() + 60_000;
    let cases = ["delivered", "failed", "deferred", "never-sent", "not-run", "past-deadline", "pending"];
    for message_id in cases {
        let deadline = if message_id == "past-deadline" { UnixMillis(5) } else { deadline };
        store.accept(Message { deadline, ..message(message_id, 10) });
        if message_id != "never-sent" {
            store.start_attempt(&message_id.into(), execution(1));
        }
    }
    store.commit().expect("written");
    store.finish_attempt(&"not-run".into(), 0, false);
    for message_id in ["delivered", "never-sent", "not-run", "past-deadline"] {
        store.complete(&message_id.into(), None);
    }
    store.complete(&"failed".into(), Some(Status::Undeliverable));
    store.acknowledge(&"failed".into());
    store.complete(&"deferred".into(), Some(Status::Deferred(None)));
    store.commit().expect("written");
    let mut successor = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(successor.take_possibly_executed(), [] as [MessageId; 0]);
    drop(store);
    successor.take_over().expect("readable").expect("the owner has exited");
    assert_eq!(successor.take_possibly_executed(), ["delivered".into(), "failed".into()] as [MessageId; 2]);
    drop(successor);
    let mut reopened = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(reopened.take_possibly_executed(), ["delivered".into(), "failed".into()] as [MessageId; 2]);
    assert_eq!(reopened.take_possibly_executed(), [] as [MessageId; 0]);
}
