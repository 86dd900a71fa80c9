//! Restarts, compaction and failed commits.

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

fn execution(at: u64) -> PossibleExecution {
    PossibleExecution { at: UnixMillis(at), receiver: "r1".into(), zone: "a".into() }
}

/// The pending messages and the ids of the pending notifications, each in the order of their ids.
fn state(store: &Store) -> (Vec<Message>, Vec<MessageId>) {
    let mut messages: Vec<Message> = store.pending_messages().cloned().collect();
    messages.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let mut notifications: Vec<MessageId> = store.pending_notifications().map(|n| n.message_id).collect();
    notifications.sort();
    (messages, notifications)
}

#[test]
fn a_kill_during_compaction_loses_no_pending_message_and_revives_no_completed_one() {
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
    let mut removed = Vec::new();
    for n in 0..100 {
        // The segments that a kill before the deletion of the oldest ones would have left.
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
        removed.extend(before.into_iter().filter(|(path, _)| !path.exists()));
    }
    assert!(!removed.is_empty(), "nothing was ever removed");
    let expected = state(&store);
    assert_eq!(expected.0[0].attempts, 2);
    assert_eq!(expected.0[0].possibly_executed, Some(execution(1)));
    assert_eq!(expected.0[0].in_flight, Some(execution(2)));
    assert_eq!(expected.1, ["notified".into()] as [MessageId; 1]);
    drop(store);
    // The second attempt has no outcome, but an earlier possible execution is recorded.
    let mut expected = expected;
    expected.0[0].in_flight = None;
    let again = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&again), expected);
    drop(again);
    for (path, bytes) in &removed[removed.len() - 1..] {
        fs::write(path, bytes).expect("writable");
    }
    let again = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&again), expected);
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
    let again = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&again), (vec![], vec!["m1".into()]));
}

/// When the earliest possible execution of a pending message was sent.
fn first_execution(store: &Store, message_id: &str) -> Option<u64> {
    let message = store.pending_message(&message_id.into()).expect("a pending message");
    let execution = message.possibly_executed.as_ref().or(message.in_flight.as_ref());
    execution.map(|execution| execution.at.0)
}

/// An attempt interrupted by a kill, then one that was not executed, then another kill.
#[test]
fn an_attempt_interrupted_by_a_kill_stays_possibly_executed_whatever_the_later_outcomes() {
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
            // The second attempt is not recorded and so was not sent; its outcome is recorded nevertheless.
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

/// Older versions did not store which attempt an outcome is of.
#[test]
fn an_outcome_without_an_attempt_number_is_that_of_the_attempt_in_flight() {
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

/// The clock was ahead temporarily, or has been set back since.
#[test]
fn an_attempt_in_the_future_is_reported_to_one_start_unless_a_pending_message_still_has_it() {
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
    // The start before this one removed the segments with that time.
    drop(Store::open(folder.path(), BUDGET).expect("a journal"));
    assert_eq!(Store::open(folder.path(), BUDGET).expect("a journal").latest_attempt(), UnixMillis::EPOCH);
}
