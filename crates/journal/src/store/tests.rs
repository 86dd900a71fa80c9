//! The store's cases one by one, and random histories against a plain model.

use super::*;

const BUDGET: u64 = 3_000_000;

fn message(txn: &str, size: usize) -> Message {
    Message {
        txn: txn.into(),
        class: "safe".into(),
        tenant: "acme".into(),
        destination: 7,
        key: Some(Bytes::from_static(b"key")),
        deadline: 5,
        body: Bytes::from(vec![b'x'; size]),
        attempts: 0,
        may_have_run: None,
        out: None,
    }
}

fn ran(at: u64) -> Ran {
    Ran { at, receiver: "r1".into(), zone: "a".into() }
}

/// What the journal says, in an order of its own.
fn state(store: &Store) -> (Vec<Message>, Vec<Txn>) {
    let mut open: Vec<Message> = store.open_messages().cloned().collect();
    open.sort_by(|a, b| a.txn.cmp(&b.txn));
    let mut owed: Vec<Txn> = store.owed().map(|n| n.txn).collect();
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
        let before: Vec<(PathBuf, Vec<u8>)> = (store.segments.iter())
            .map(|s| path(folder.path(), s.number))
            .map(|p| (p.clone(), fs::read(p).expect("readable")))
            .collect();
        let txn: Txn = format!("m{n}").into();
        store.take(message(&txn, 60_000));
        store.commit().expect("written");
        store.end(&txn, None);
        store.commit().expect("written");
        assert!(store.total() <= BUDGET);
        removed.extend(before.into_iter().filter(|(p, _)| !p.exists()));
    }
    assert!(!removed.is_empty(), "nothing was ever removed");
    let expected = state(&store);
    assert_eq!(expected.0[0].attempts, 2);
    assert_eq!(expected.0[0].may_have_run, Some(ran(1)));
    assert_eq!(expected.0[0].out, Some(ran(2)));
    assert_eq!(expected.1, ["owed".into()] as [Txn; 1]);
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

/// The attempt of `txn` that counts as the first that may have run.
fn first(store: &Store, txn: &str) -> Option<u64> {
    let message = store.open_messages().find(|m| &*m.txn == txn).expect("an open message");
    message.may_have_run.as_ref().or(message.out.as_ref()).map(|ran| ran.at)
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

// ---- Random histories against a plain model ----------------------------------------------------------

use std::collections::BTreeMap;

use proptest::prelude::*;

/// Messages by number; each attempt's time and, once known, whether it may have run.
type Model = BTreeMap<usize, Vec<(u64, Option<bool>)>>;

#[derive(Clone, Debug)]
enum Step {
    Take(usize, usize),
    Attempt(usize),
    Outcome(usize, bool),
    End(usize),
    /// A batch is written, or cannot be.
    Commit(bool),
    Kill,
}

fn step() -> impl Strategy<Value = Step> {
    let message = 0..6usize;
    prop_oneof![
        8 => (message.clone(), 40_000..60_000usize).prop_map(|(m, size)| Step::Take(m, size)),
        6 => message.clone().prop_map(Step::Attempt),
        5 => (message.clone(), any::<bool>()).prop_map(|(m, ran)| Step::Outcome(m, ran)),
        5 => message.prop_map(Step::End),
        8 => prop::bool::weighted(0.8).prop_map(Step::Commit),
        2 => Just(Step::Kill),
    ]
}

/// What a step does to the model; false if it does not apply.
fn apply_to(model: &mut Model, step: &Step, at: u64) -> bool {
    let free = |attempts: &Vec<(u64, Option<bool>)>| attempts.iter().all(|a| a.1.is_some());
    match *step {
        Step::Take(m, _) => !model.contains_key(&m) && model.insert(m, Vec::new()).is_none(),
        Step::Attempt(m) => {
            let attempts = model.get_mut(&m).filter(|attempts| free(attempts));
            attempts.map(|attempts| attempts.push((at, None))).is_some()
        }
        Step::Outcome(m, ran) => {
            let last = model.get_mut(&m).and_then(|attempts| attempts.last_mut());
            last.filter(|a| a.1.is_none()).map(|a| a.1 = Some(ran)).is_some()
        }
        Step::End(m) => model.remove(&m).is_some(),
        Step::Commit(_) | Step::Kill => true,
    }
}

fn first_in(attempts: &[(u64, Option<bool>)]) -> Option<u64> {
    attempts.iter().find(|a| a.1 != Some(false)).map(|a| a.0)
}

/// What the journal says must be what the model says, message by message.
fn compare(store: &Store, model: &Model) -> Result<(), TestCaseError> {
    let open: BTreeMap<String, Option<u64>> =
        store.open_messages().map(|m| (m.txn.to_string(), first(store, &m.txn))).collect();
    let expected: BTreeMap<String, Option<u64>> =
        model.iter().map(|(m, attempts)| (format!("m{m}"), first_in(attempts))).collect();
    prop_assert_eq!(open, expected);
    Ok(())
}

/// Attempts, outcomes, ends, batches that cannot be written, kills, and room made all the while: what may
/// have run is never forgotten, the earliest is kept, and what never ran is not made more of.
#[test]
fn what_may_have_run_is_what_a_plain_model_says() {
    let config = ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let removed = std::cell::Cell::new(0);
    let histories = prop::collection::vec(step(), 1..600);
    let played = proptest::test_runner::TestRunner::new(config).run(&histories, |steps| {
        removed.set(removed.get() + play(steps)?);
        Ok(())
    });
    played.expect("the journal says what the model says");
    assert!(removed.get() > 100, "{} segments removed", removed.get());
}

/// Returns how many segments were removed.
fn play(steps: Vec<Step>) -> Result<u64, TestCaseError> {
    // Room for little more than what is kept free: old segments go all the time.
    let budget = 10 * SEGMENT;
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), budget).expect("a journal");
    // What the process knows, what is written, and what waits for the next batch.
    let (mut live, mut written) = (Model::new(), Model::new());
    let (mut facts, mut starts) = (Vec::new(), Vec::new());
    let mut gone: std::collections::BTreeSet<usize> = Default::default();
    for (at, step) in steps.into_iter().enumerate() {
        let at = at as u64;
        let fits = match step {
            // An id is not used again while a batch that knows it is still to be written.
            Step::Take(m, _) => !gone.contains(&m),
            // Only what is on record is attempted, and only what has gone out has an outcome.
            Step::Attempt(m) => written.contains_key(&m),
            Step::Outcome(m, _) | Step::End(m) => !starts.iter().any(|(step, _)| match *step {
                Step::Take(n, _) | Step::Attempt(n) => n == m,
                _ => false,
            }),
            Step::Commit(_) | Step::Kill => true,
        };
        if !fits || !apply_to(&mut live, &step, at) {
            continue;
        }
        match step {
            Step::Take(m, size) => {
                let record = message(&format!("m{m}"), size);
                if !store.has_room(record.room()) {
                    live.remove(&m);
                    continue;
                }
                store.take(record);
                starts.push((step, at));
            }
            Step::Attempt(m) => {
                store.attempt(&format!("m{m}").as_str().into(), ran(at));
                starts.push((step, at));
            }
            Step::Outcome(m, may) => {
                let number = live[&m].len() as u32 - 1;
                store.outcome(&format!("m{m}").as_str().into(), number, may);
                facts.push((step, at));
            }
            Step::End(m) => {
                store.end(&format!("m{m}").as_str().into(), None);
                gone.insert(m);
                facts.push((step, at));
            }
            Step::Commit(true) => {
                store.commit().expect("written");
                for (step, at) in facts.drain(..).chain(starts.drain(..)) {
                    apply_to(&mut written, &step, at);
                }
                gone.clear();
                compare(&store, &live)?;
            }
            Step::Commit(false) => {
                if facts.is_empty() && starts.is_empty() {
                    continue;
                }
                store.budget = 0;
                store.commit().expect_err("no room");
                store.budget = budget;
                for (step, _) in starts.drain(..) {
                    match step {
                        Step::Take(m, _) => {
                            live.remove(&m);
                            store.forget(&format!("m{m}").as_str().into());
                        }
                        Step::Attempt(m) => {
                            let attempts = live.get_mut(&m).expect("a message");
                            let number = attempts.len() as u32 - 1;
                            // It keeps its number, as at the host, and never ran.
                            let last = attempts.last_mut().expect("an attempt");
                            last.1 = Some(false);
                            store.outcome(&format!("m{m}").as_str().into(), number, false);
                        }
                        _ => {}
                    }
                }
                compare(&store, &live)?;
            }
            Step::Kill => {
                drop(store);
                facts.clear();
                starts.clear();
                gone.clear();
                for attempt in written.values_mut().flatten() {
                    attempt.1 = attempt.1.or(Some(true));
                }
                store = Store::open(folder.path(), budget).expect("a journal");
                live = written.clone();
                compare(&store, &live)?;
                // Numbers go on from what is on record.
                for (m, attempts) in &mut live {
                    let known = store.open_messages().find(|o| *o.txn == *format!("m{m}"));
                    let known = known.expect("a message").attempts as usize;
                    prop_assert!(known >= attempts.len());
                    attempts.resize(known, (u64::MAX, Some(false)));
                }
                written = live.clone();
            }
        }
    }
    Ok(store.segments.front().map_or(0, |s| s.number))
}

#[test]
fn what_is_known_of_outages_outlasts_the_process_and_the_segments_that_it_was_written_to() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    let (shared, apart): (Place, Place) = ((7, "".into()), (8, "r1".into()));
    store.remember(shared.clone(), Some(Trouble::Down { wait: 50_000 }));
    store.remember(apart.clone(), Some(Trouble::Cold { ago: 100, part: 0.25 }));
    store.remember((9, "".into()), Some(Trouble::Down { wait: 0 }));
    store.remember((9, "".into()), None);
    store.commit().expect("written");
    // Until the first segment has been moved and removed.
    for n in 0..100 {
        let txn: Txn = format!("m{n}").into();
        store.take(message(&txn, 60_000));
        store.commit().expect("written");
        store.end(&txn, None);
        store.commit().expect("written");
    }
    assert!(!path(folder.path(), 0).exists(), "the segment that held it is still there");
    drop(store);
    let store = Store::open(folder.path(), BUDGET).expect("a journal");
    let known: Vec<(Place, Trouble)> = store.memories().map(|(p, t)| (p.clone(), t)).collect();
    let [(first, Trouble::Down { wait }), (second, Trouble::Cold { ago, part })] = &known[..] else {
        panic!("{known:?}")
    };
    assert_eq!((first, second, *part), (&shared, &apart, 0.25));
    assert!((40_000..=50_000).contains(wait) && (100..10_000).contains(ago), "{known:?}");
}

#[test]
fn a_memory_that_cannot_be_is_skipped() {
    let mut contents = Contents::default();
    let mut batch = Vec::new();
    put_memory(&mut batch, &(7, "".into()), wall_ms(), Some(Trouble::Cold { ago: 0, part: 7.5 }));
    put_memory(&mut batch, &(8, "".into()), wall_ms(), Some(Trouble::Cold { ago: 0, part: f64::NAN }));
    put_memory(&mut batch, &(9, "".into()), wall_ms(), Some(Trouble::Down { wait: 5 }));
    assert_eq!(replay(&batch, 0, &mut contents), batch.len());
    assert_eq!(contents.memories.at(wall_ms()).map(|(place, _)| place.0).collect::<Vec<_>>(), [9]);
}

// ---- An owner and its successor -----------------------------------------------------------------------

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
    assert_eq!(over.owed, [Notice { txn: "m1".into(), status: Status::Undeliverable }]);
    assert_eq!(over.open.len(), 1);
    // Its attempt has no outcome, and never will have.
    assert_eq!((&*over.open[0].txn, &over.open[0].may_have_run), ("m3", &Some(ran(2))));
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
        for txn in ["m1", "m2", "both"] {
            owner.take(message(txn, 10));
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
            let txn = Txn::from(format!("{}-{n}", store.is_owner()));
            store.take(message(&txn, 2_000));
            store.commit().expect("written");
            store.end(&txn, None);
            store.commit().expect("written");
        }
    };
    let mut owner = open(&folder);
    fill(&mut owner, 0, 2_000);
    assert!(owner.total() > BUDGET / 2, "{}", owner.total());
    owner.share(true).expect("room");
    let mut successor = open(&folder);
    for n in 0..10 {
        fill(&mut owner, 2_000 + n * 200, 2_200 + n * 200);
        fill(&mut successor, n * 200, 200 + n * 200);
        assert!(owner.total() + successor.total() <= BUDGET);
    }
    owner.share(false).expect("room");
    assert_eq!(owner.budget, BUDGET);
    drop(owner);
    assert!(successor.succeed().expect("readable").is_some());
    fill(&mut successor, 3_000, 5_000);
    assert!((BUDGET / 2..=BUDGET).contains(&successor.total()), "{}", successor.total());
}
