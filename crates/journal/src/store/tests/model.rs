//! Random histories against a plain model.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

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
        store.open_messages().map(|m| (m.message_id.to_string(), first(store, &m.message_id))).collect();
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
                    let known = store.open_messages().find(|o| *o.message_id == *format!("m{m}"));
                    let known = known.expect("a message").attempts as usize;
                    prop_assert!(known >= attempts.len());
                    attempts.resize(known, (u64::MAX, Some(false)));
                }
                written = live.clone();
            }
        }
    }
    Ok(store.segments.oldest())
}
