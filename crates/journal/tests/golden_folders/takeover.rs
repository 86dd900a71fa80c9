//! Golden folders with the segments of an owner and of its successor.

use std::path::Path;

use rudderspindle_journal::{Message, PendingNotification, Status, Store, TakenOver};

use crate::support::{JournalContent, content_of, copy, execution, golden_segments, message, open, segments};

/// The owner writes, then its successor, then the owner again. Returns the successor; the owner exits.
fn write_side_by_side(folder: &Path) -> Store {
    let mut owner = open(folder);
    for message_id in ["o-open", "o-ran", "o-notice", "o-delivered", "both"] {
        owner.accept(message(message_id));
    }
    owner.start_attempt(&"o-ran".into(), execution(1));
    owner.commit().expect("written");
    let mut successor = open(folder);
    assert!(owner.is_owner() && !successor.is_owner());
    successor.accept(message("s-open"));
    successor.accept(message("both"));
    successor.start_attempt(&"both".into(), execution(2));
    successor.commit().expect("written");
    owner.complete(&"o-notice".into(), Some(Status::Deferred(Some(70_000))));
    owner.complete(&"o-delivered".into(), None);
    owner.commit().expect("written");
    successor
}

/// The successor writes records as the new owner.
fn write_after_takeover(successor: &mut Store) {
    successor.complete(&"o-open".into(), Some(Status::Undeliverable));
    successor.acknowledge(&"o-notice".into());
    successor.start_attempt(&"o-ran".into(), execution(3));
    successor.finish_attempt(&"both".into(), 0, false);
    successor.commit().expect("written");
}

fn sorted(mut taken_over: TakenOver) -> TakenOver {
    taken_over.pending_messages.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    taken_over.pending_notifications.sort_by(|a, b| a.message_id.cmp(&b.message_id));
    taken_over
}

fn executed_once(message_id: &str, after_ms: u64) -> Message {
    Message { attempts: 1, possibly_executed: Some(execution(after_ms)), ..message(message_id) }
}

#[test]
fn owner_and_successor_write_the_bytes_of_the_golden_folders() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut successor = write_side_by_side(folder.path());
    assert_eq!(segments(folder.path()), golden_segments("takeover-before"));
    let taken_over = successor.take_over().expect("readable").expect("the owner has exited");
    let expected = TakenOver {
        pending_messages: vec![message("o-open"), executed_once("o-ran", 1)],
        pending_notifications: vec![PendingNotification {
            message_id: "o-notice".into(),
            status: Status::Deferred(Some(70_000)),
        }],
    };
    assert_eq!(sorted(taken_over), expected);
    assert!(successor.is_owner());
    write_after_takeover(&mut successor);
    assert_eq!(segments(folder.path()), golden_segments("takeover-after"));
}

/// Both processes have exited: the next one replays the segments of both in the order of their numbers.
#[test]
fn a_restart_replays_the_segments_of_owner_and_successor() {
    let before = JournalContent {
        pending_messages: vec![
            executed_once("both", 2),
            message("o-open"),
            executed_once("o-ran", 1),
            message("s-open"),
        ],
        pending_notifications: vec![PendingNotification {
            message_id: "o-notice".into(),
            status: Status::Deferred(Some(70_000)),
        }],
        outage_records: vec![],
        latest_attempt: execution(2).sent_at,
        warnings: vec![],
    };
    assert_eq!(content_of(copy("takeover-before").path()), before);
    let after = JournalContent {
        pending_messages: vec![
            Message { attempts: 1, ..message("both") },
            Message { attempts: 2, ..executed_once("o-ran", 1) },
            message("s-open"),
        ],
        pending_notifications: vec![PendingNotification {
            message_id: "o-open".into(),
            status: Status::Undeliverable,
        }],
        outage_records: vec![],
        latest_attempt: execution(3).sent_at,
        warnings: vec![],
    };
    assert_eq!(content_of(copy("takeover-after").path()), after);
}

#[test]
fn a_successor_takes_over_the_golden_segments_of_an_exited_owner() {
    let folder = copy("takeover-after");
    let owner = open(folder.path());
    let mut successor = open(folder.path());
    assert_eq!(successor.pending_messages().count(), 0);
    assert_eq!(successor.take_over().expect("readable"), None);
    drop(owner);
    let taken_over = successor.take_over().expect("readable").expect("the owner has exited");
    let expected = TakenOver {
        pending_messages: vec![
            Message { attempts: 1, ..message("both") },
            Message { attempts: 2, ..executed_once("o-ran", 1) },
            message("s-open"),
        ],
        pending_notifications: vec![PendingNotification {
            message_id: "o-open".into(),
            status: Status::Undeliverable,
        }],
    };
    assert_eq!(sorted(taken_over), expected);
    assert_eq!(successor.latest_attempt(), execution(3).sent_at);
    let names: Vec<String> = segments(folder.path()).into_keys().collect();
    assert_eq!(names, ["journal-00000000", "journal-01000000", "journal-01000001", "journal-02000001"]);
}
