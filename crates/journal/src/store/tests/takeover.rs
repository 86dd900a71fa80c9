//! An owner and its successor that use one folder.

use super::{BUDGET, execution, first_execution, message, state};
use crate::message::{PendingNotification, Status};
use crate::store::Store;
use crate::{JournalError, MessageId};

fn open(folder: &tempfile::TempDir) -> Store {
    Store::open(folder.path(), BUDGET).expect("a journal")
}

/// Until the owner has exited, its successor restores and takes over nothing, and both write records.
#[test]
fn a_successor_takes_over_only_after_the_owner_has_exited() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut owner = open(&folder);
    owner.accept(message("m1", 10));
    owner.accept(message("completed", 10));
    owner.start_attempt(&"m1".into(), execution(1));
    owner.commit().expect("written");
    let mut successor = open(&folder);
    assert!(owner.is_owner() && !successor.is_owner());
    assert_eq!(state(&successor), (vec![], vec![]));
    assert_eq!(successor.take_over().expect("readable"), None);
    let third = Store::open(folder.path(), BUDGET).expect_err("the folder has an owner and a successor");
    assert!(matches!(third, JournalError::FolderInUse), "{third:?}");
    // Both processes continue to write.
    successor.accept(message("m2", 10));
    successor.commit().expect("written");
    owner.complete(&"completed".into(), None);
    owner.complete(&"m1".into(), Some(Status::Undeliverable));
    owner.accept(message("m3", 10));
    owner.start_attempt(&"m3".into(), execution(2));
    owner.commit().expect("written");
    drop(owner);
    let taken_over = successor.take_over().expect("readable").expect("the owner has exited");
    assert_eq!(
        taken_over.pending_notifications,
        [PendingNotification { message_id: "m1".into(), status: Status::Undeliverable }]
    );
    assert_eq!(taken_over.pending_messages.len(), 1);
    // The outcome of the owner's attempt will never be recorded.
    assert_eq!(
        (&*taken_over.pending_messages[0].message_id, &taken_over.pending_messages[0].possibly_executed),
        ("m3", &Some(execution(2)))
    );
    assert_eq!(successor.take_over().expect("readable"), None);
    let expected = state(&successor);
    assert_eq!((expected.0.len(), expected.1.len()), (2, 1));
    drop(successor);
    assert_eq!(state(&open(&folder)), expected);
}

/// Owner and successor crash after 0 to 4 steps of a takeover, and a third process restores all entries. If both have an entry
/// with the same id, the successor's entry is restored.
#[test]
fn a_crash_at_any_point_of_a_takeover_loses_no_entry() {
    for steps in 0..5 {
        let folder = tempfile::tempdir().expect("a folder");
        let mut owner = open(&folder);
        for message_id in ["m1", "m2", "both"] {
            owner.accept(message(message_id, 10));
        }
        owner.commit().expect("written");
        let mut successor = open(&folder);
        successor.accept(message("m3", 10));
        successor.accept(message("both", 10));
        successor.start_attempt(&"both".into(), execution(7));
        successor.commit().expect("written");
        let mut owner = Some(owner);
        let mut expected_messages = 4;
        let mut expected_notifications = 0;
        for step in 0..steps {
            match step {
                0 => drop(owner.take()),
                1 => assert!(successor.take_over().expect("readable").is_some()),
                2 => {
                    successor.complete(&"m1".into(), None);
                    expected_messages -= 1;
                }
                _ => {
                    successor.complete(&"m2".into(), Some(Status::Deferred(None)));
                    expected_messages -= 1;
                    expected_notifications += 1;
                }
            }
            successor.commit().expect("written");
        }
        drop(successor);
        drop(owner);
        let reopened = open(&folder);
        let (messages, notifications) = state(&reopened);
        assert_eq!(messages.len(), expected_messages, "after {steps} steps");
        assert_eq!(notifications.len(), expected_notifications, "after {steps} steps");
        assert_eq!(first_execution(&reopened, "both"), Some(7));
    }
}

/// After the takeover, the remaining process uses the whole budget again.
#[test]
fn two_processes_together_stay_within_the_disk_budget() {
    let folder = tempfile::tempdir().expect("a folder");
    let fill = |store: &mut Store, from: u32, to: u32| {
        for n in from..to {
            let message_id = MessageId::from(format!("{}-{n}", store.is_owner()));
            store.accept(message(&message_id, 2_000));
            store.commit().expect("written");
            store.complete(&message_id, None);
            store.commit().expect("written");
        }
    };
    let mut owner = open(&folder);
    fill(&mut owner, 0, 2_000);
    assert!(owner.segments.disk_usage() > BUDGET / 2, "{}", owner.segments.disk_usage());
    owner.share_disk(true).expect("compacted");
    let mut successor = open(&folder);
    for n in 0..10 {
        fill(&mut owner, 2_000 + n * 200, 2_200 + n * 200);
        fill(&mut successor, n * 200, 200 + n * 200);
        assert!(owner.segments.disk_usage() + successor.segments.disk_usage() <= BUDGET);
    }
    owner.share_disk(false).expect("compacted");
    assert_eq!(owner.budget, BUDGET);
    drop(owner);
    assert!(successor.take_over().expect("readable").is_some());
    fill(&mut successor, 3_000, 5_000);
    assert!(
        (BUDGET / 2..=BUDGET).contains(&successor.segments.disk_usage()),
        "{}",
        successor.segments.disk_usage()
    );
}

/// Guards against an owner that can no longer write: with pending messages that need more than half of the disk budget, each
/// of its writes failed once a successor shared the budget.
#[test]
fn an_owner_whose_pending_messages_need_more_than_half_of_the_budget_can_still_write() {
    const BODY_LEN: usize = 60_000;
    let folder = tempfile::tempdir().expect("a folder");
    let mut owner = open(&folder);
    let mut pending = Vec::new();
    while owner.has_space_for(message("m", BODY_LEN).reserved_bytes()) {
        let message_id = MessageId::from(format!("m{}", pending.len()));
        owner.accept(message(&message_id, BODY_LEN));
        owner.commit().expect("written");
        pending.push(message_id);
    }
    assert!(owner.segments.disk_usage() > BUDGET / 2, "{}", owner.segments.disk_usage());
    owner.share_disk(true).expect("compacted");
    let mut successor = open(&folder);
    let mut parts = Vec::new();
    for message_id in pending {
        owner.start_attempt(&message_id, execution(1));
        owner.commit().expect("the start of an attempt is written");
        owner.complete(&message_id, None);
        owner.commit().expect("the completion is written");
        if owner.can_leave_more_to_successor() {
            owner.share_disk(true).expect("compacted");
        }
        successor.set_successor_part(owner.successor_part());
        parts.push(owner.successor_part());
        // The successor fills its part with messages that it delivers at once.
        let own_id = MessageId::from(format!("successor-{}", parts.len()));
        if successor.has_space_for(message(&own_id, BODY_LEN).reserved_bytes()) {
            successor.accept(message(&own_id, BODY_LEN));
            successor.commit().expect("the successor's part has space");
            successor.complete(&own_id, None);
            successor.commit().expect("written");
        }
        assert!(owner.segments.disk_usage() + successor.segments.disk_usage() <= BUDGET);
    }
    assert!(parts.is_sorted() && parts[0] < BUDGET / 2, "{parts:?}");
    assert_eq!(parts.last(), Some(&(BUDGET / 2)));
    assert!(owner.leaves_half_to_successor() && !owner.can_leave_more_to_successor());
}
