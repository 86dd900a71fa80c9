//! The store's cases one by one.

mod model;
mod succession;

use std::fs;

use bytes::Bytes;

use super::*;
use crate::replay::replay;
use crate::segments::path;

const BUDGET: u64 = 3_000_000;

fn message(message_id: &str, size: usize) -> Message {
    Message {
        message_id: message_id.into(),
        class: "safe".into(),
        tenant: "acme".into(),
        destination: 7,
        key: Some(Bytes::from_static(b"key")),
        deadline: 5,
        body: Bytes::from(vec![b'x'; size]),
        attempts: 0,
        possibly_executed: None,
        out: None,
    }
}

fn ran(at: u64) -> PossibleExecution {
    PossibleExecution { at, receiver: "r1".into(), zone: "a".into() }
}

/// What the journal says, in an order of its own.
fn state(store: &Store) -> (Vec<Message>, Vec<MessageId>) {
    let mut open: Vec<Message> = store.open_messages().cloned().collect();
    open.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    let mut owed: Vec<MessageId> = store.owed().map(|n| n.message_id).collect();
    owed.sort();
    (open, owed)
}

#[test]
fn a_kill_while_room_is_made_loses_nothing_and_revives_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.take(message("kept", 1_000));
    store.attempt(&"kept".into(), ran(1));
    store.take(message("owed", 10));
    store.take(message("over", 10));
    store.commit().expect("written");
    store.outcome(&"kept".into(), 0, true);
    store.attempt(&"kept".into(), ran(2));
    store.end(&"owed".into(), Some(Status::Deferred(Some(70))));
    store.end(&"over".into(), None);
    store.commit().expect("written");
    let mut removed = Vec::new();
    for n in 0..100 {
        // What a kill before the removal of the oldest segments would have left there.
        let before: Vec<(PathBuf, Vec<u8>)> = (numbers(folder.path()).expect("readable").into_iter())
            .map(|number| path(folder.path(), number))
            .map(|p| (p.clone(), fs::read(p).expect("readable")))
            .collect();
        let message_id: MessageId = format!("m{n}").into();
        store.take(message(&message_id, 60_000));
        store.commit().expect("written");
        store.end(&message_id, None);
        store.commit().expect("written");
        assert!(store.segments.total() <= BUDGET);
        removed.extend(before.into_iter().filter(|(p, _)| !p.exists()));
    }
    assert!(!removed.is_empty(), "nothing was ever removed");
    let expected = state(&store);
    assert_eq!(expected.0[0].attempts, 2);
    assert_eq!(expected.0[0].possibly_executed, Some(ran(1)));
    assert_eq!(expected.0[0].out, Some(ran(2)));
    assert_eq!(expected.1, ["owed".into()] as [MessageId; 1]);
    drop(store);
    // The second attempt has no outcome, and the first counts already.
    let mut expected = expected;
    expected.0[0].out = None;
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
fn a_batch_that_cannot_be_written_takes_nothing_on_and_forgets_no_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.take(message("m1", 10));
    store.commit().expect("written");
    store.budget = 0;
    store.end(&"m1".into(), Some(Status::Undeliverable));
    store.take(message("m2", 10));
    assert!(store.commit().is_err());
    store.forget(&"m2".into());
    store.budget = BUDGET;
    store.commit().expect("written");
    drop(store);
    let again = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(state(&again), (vec![], vec!["m1".into()]));
}

/// The attempt of `message_id` that counts as the first that may have run.
fn first(store: &Store, message_id: &str) -> Option<u64> {
    let message = store.open_messages().find(|m| &*m.message_id == message_id).expect("an open message");
    message.possibly_executed.as_ref().or(message.out.as_ref()).map(|ran| ran.at)
}

/// Cut by a kill, then one that never ran, then another kill: the first may have run all the same.
#[test]
fn an_attempt_cut_by_a_kill_may_have_run_whatever_comes_of_later_ones() {
    for written in [true, false] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
        store.take(message("m1", 10));
        store.attempt(&"m1".into(), ran(1));
        store.commit().expect("written");
        drop(store);
        let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(first(&store, "m1"), Some(1));
        store.attempt(&"m1".into(), ran(2));
        if !written {
            // The second attempt is not on record, and so has not gone out; that it never ran is.
            store.budget = 0;
            store.commit().expect_err("no room");
            store.budget = BUDGET;
        }
        store.outcome(&"m1".into(), 1, false);
        store.commit().expect("written");
        assert_eq!(first(&store, "m1"), Some(1), "in memory, written: {written}");
        drop(store);
        let store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(first(&store, "m1"), Some(1), "after a restart, written: {written}");
    }
}

/// A record of an outcome as written before outcomes told which attempt they are of.
#[test]
fn an_outcome_without_a_number_is_still_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    store.take(message("m1", 10));
    store.attempt(&"m1".into(), ran(1));
    store.commit().expect("written");
    put(&mut store.facts, OUTCOME, |p| {
        put_text(p, "m1");
        p.push(0);
    });
    store.commit().expect("written");
    drop(store);
    let store = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(first(&store, "m1"), None);
}

/// A clock that was ahead for a while, or has been set back since.
#[test]
fn a_time_that_has_not_come_yet_is_told_to_one_start_unless_a_message_still_has_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    assert_eq!(store.latest_attempt(), 0);
    let ahead = wall_ms() + 3_600_000;
    for (message_id, at) in [("over", ahead), ("open", ahead - 1)] {
        store.take(message(message_id, 10));
        store.attempt(&message_id.into(), ran(at));
        store.commit().expect("written");
    }
    store.end(&"over".into(), None);
    store.commit().expect("written");
    for expected in [ahead, ahead - 1] {
        drop(store);
        store = Store::open(folder.path(), BUDGET).expect("a journal");
        assert_eq!(store.latest_attempt(), expected);
        assert_eq!(first(&store, "open"), Some(ahead - 1));
    }
    store.end(&"open".into(), None);
    store.commit().expect("written");
    drop(store);
    // The start before this one has left no record of it but those of its own.
    drop(Store::open(folder.path(), BUDGET).expect("a journal"));
    assert_eq!(Store::open(folder.path(), BUDGET).expect("a journal").latest_attempt(), 0);
}

#[test]
fn what_is_known_of_outages_outlasts_the_process_and_the_segments_that_it_was_written_to() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    let (shared, apart): (EndpointKey, EndpointKey) = ((7, "".into()), (8, "r1".into()));
    store.remember(shared.clone(), Some(OutageState::Down { wait: 50_000 }));
    store.remember(apart.clone(), Some(OutageState::WarmingUp { ago: 100, part: 0.25 }));
    store.remember((9, "".into()), Some(OutageState::Down { wait: 0 }));
    store.remember((9, "".into()), None);
    store.commit().expect("written");
    // Until the first segment has been moved and removed.
    for n in 0..100 {
        let message_id: MessageId = format!("m{n}").into();
        store.take(message(&message_id, 60_000));
        store.commit().expect("written");
        store.end(&message_id, None);
        store.commit().expect("written");
    }
    assert!(!path(folder.path(), 0).exists(), "the segment that held it is still there");
    drop(store);
    let store = Store::open(folder.path(), BUDGET).expect("a journal");
    let known: Vec<(EndpointKey, OutageState)> =
        store.outage_records().map(|(p, t)| (p.clone(), t)).collect();
    let [(first, OutageState::Down { wait }), (second, OutageState::WarmingUp { ago, part })] = &known[..]
    else {
        panic!("{known:?}")
    };
    assert_eq!((first, second, *part), (&shared, &apart, 0.25));
    assert!((40_000..=50_000).contains(wait) && (100..10_000).contains(ago), "{known:?}");
}

#[test]
fn a_memory_that_cannot_be_is_skipped() {
    let mut contents = Contents::default();
    let mut batch = Vec::new();
    put_memory(&mut batch, &(7, "".into()), wall_ms(), Some(OutageState::WarmingUp { ago: 0, part: 7.5 }));
    put_memory(
        &mut batch,
        &(8, "".into()),
        wall_ms(),
        Some(OutageState::WarmingUp { ago: 0, part: f64::NAN }),
    );
    put_memory(&mut batch, &(9, "".into()), wall_ms(), Some(OutageState::Down { wait: 5 }));
    assert_eq!(replay(&batch, 0, &mut contents), batch.len());
    assert_eq!(contents.outage_records.at(wall_ms()).map(|(place, _)| place.0).collect::<Vec<_>>(), [9]);
}
