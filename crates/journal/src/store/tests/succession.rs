//! An owner and its successor in one folder.

use super::*;

fn open(folder: &tempfile::TempDir) -> Store {
    Store::open(folder.path(), BUDGET).expect("a journal")
}

#[test]
fn a_successor_leaves_the_owners_segments_alone_and_takes_over_once_it_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut owner = open(&folder);
    owner.take(message("m1", 10));
    owner.take(message("gone", 10));
    owner.attempt(&"m1".into(), ran(1));
    owner.commit().expect("written");
    let mut successor = open(&folder);
    assert!(owner.is_owner() && !successor.is_owner());
    assert_eq!(state(&successor), (vec![], vec![]));
    assert_eq!(successor.succeed().expect("readable"), None);
    let third = Store::open(folder.path(), BUDGET).expect_err("there are two");
    assert_eq!(third.kind(), io::ErrorKind::ResourceBusy);
    // Both go on writing.
    successor.take(message("m2", 10));
    successor.commit().expect("written");
    owner.end(&"gone".into(), None);
    owner.end(&"m1".into(), Some(Status::Undeliverable));
    owner.take(message("m3", 10));
    owner.attempt(&"m3".into(), ran(2));
    owner.commit().expect("written");
    drop(owner);
    let over = successor.succeed().expect("readable").expect("the owner has ended");
    assert_eq!(over.owed, [Notice { message_id: "m1".into(), status: Status::Undeliverable }]);
    assert_eq!(over.open.len(), 1);
    // Its attempt has no outcome, and never will have.
    assert_eq!((&*over.open[0].message_id, &over.open[0].possibly_executed), ("m3", &Some(ran(2))));
    assert_eq!(successor.succeed().expect("readable"), None);
    let expected = state(&successor);
    assert_eq!((expected.0.len(), expected.1.len()), (2, 1));
    drop(successor);
    assert_eq!(state(&open(&folder)), expected);
}

/// Whichever of the two ends first, and also if both do before anything was taken over: nothing is lost, and
/// what the successor knows of an id is what counts.
#[test]
fn a_crash_of_owner_and_successor_at_any_point_leaves_the_same_as_a_restart() {
    for steps in 0..5 {
        let folder = tempfile::tempdir().expect("a folder");
        let mut owner = open(&folder);
        for message_id in ["m1", "m2", "both"] {
            owner.take(message(message_id, 10));
        }
        owner.commit().expect("written");
        let mut successor = open(&folder);
        successor.take(message("m3", 10));
        successor.take(message("both", 10));
        successor.attempt(&"both".into(), ran(7));
        successor.commit().expect("written");
        let mut owner = Some(owner);
        let (mut open_ones, mut owed) = (4, 0);
        for step in 0..steps {
            match step {
                0 => drop(owner.take()),
                1 => assert!(successor.succeed().expect("readable").is_some()),
                2 => {
                    successor.end(&"m1".into(), None);
                    open_ones -= 1;
                }
                _ => {
                    successor.end(&"m2".into(), Some(Status::Deferred(None)));
                    (open_ones, owed) = (open_ones - 1, owed + 1);
                }
            }
            successor.commit().expect("written");
        }
        drop(successor);
        drop(owner);
        let again = open(&folder);
        let (messages, notices) = state(&again);
        assert_eq!((messages.len(), notices.len()), (open_ones, owed), "after {steps} steps");
        assert_eq!(first(&again, "both"), Some(7));
    }
}

#[test]
fn two_processes_that_write_much_stay_within_the_disk_and_one_alone_has_all_of_it_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let fill = |store: &mut Store, from: u32, to: u32| {
        for n in from..to {
            let message_id = MessageId::from(format!("{}-{n}", store.is_owner()));
            store.take(message(&message_id, 2_000));
            store.commit().expect("written");
            store.end(&message_id, None);
            store.commit().expect("written");
        }
    };
    let mut owner = open(&folder);
    fill(&mut owner, 0, 2_000);
    assert!(owner.segments.total() > BUDGET / 2, "{}", owner.segments.total());
    owner.share(true).expect("room");
    let mut successor = open(&folder);
    for n in 0..10 {
        fill(&mut owner, 2_000 + n * 200, 2_200 + n * 200);
        fill(&mut successor, n * 200, 200 + n * 200);
        assert!(owner.segments.total() + successor.segments.total() <= BUDGET);
    }
    owner.share(false).expect("room");
    assert_eq!(owner.budget, BUDGET);
    drop(owner);
    assert!(successor.succeed().expect("readable").is_some());
    fill(&mut successor, 3_000, 5_000);
    assert!((BUDGET / 2..=BUDGET).contains(&successor.segments.total()), "{}", successor.segments.total());
}
