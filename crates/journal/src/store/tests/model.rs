//! Random sequences of journal operations, compared with a simple model.

mod run;

use std::collections::BTreeMap;

use proptest::prelude::{Just, ProptestConfig, Strategy, TestCaseError, any, prop, prop_oneof};

use self::run::Run;
use crate::MessageId;

/// An attempt of a message.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent_at: u64,
    /// `None` until the outcome of the attempt is known.
    possibly_executed: Option<bool>,
}

/// The attempts of each pending message, by the message's number.
type Model = BTreeMap<usize, Vec<Attempt>>;

/// A step of a history. `message` is the number of a message.
#[derive(Clone, Copy, Debug)]
enum Step {
    Accept {
        message: usize,
        size: usize,
    },
    StartAttempt {
        message: usize,
    },
    FinishAttempt {
        message: usize,
        possibly_executed: bool,
    },
    Complete {
        message: usize,
    },
    /// A commit that succeeds.
    Commit,
    /// A commit that fails because the disk budget is exhausted.
    FailedCommit,
    /// The process is killed, and another process opens the journal.
    Kill,
}

fn step() -> impl Strategy<Value = Step> {
    let message = 0..6usize;
    let accepted = (message.clone(), 40_000..60_000usize);
    let outcome = (message.clone(), any::<bool>());
    prop_oneof![
        8 => accepted.prop_map(|(message, size)| Step::Accept { message, size }),
        6 => message.clone().prop_map(|message| Step::StartAttempt { message }),
        5 => outcome.prop_map(|(message, possibly_executed)| Step::FinishAttempt { message, possibly_executed }),
        5 => message.prop_map(|message| Step::Complete { message }),
        8 => prop::bool::weighted(0.8).prop_map(|written| if written { Step::Commit } else { Step::FailedCommit }),
        2 => Just(Step::Kill),
    ]
}

/// Applies a step at the time `now` to the model; returns false if the step is not possible in this state.
fn apply_to(model: &mut Model, step: Step, now: u64) -> bool {
    match step {
        Step::Accept { message, .. } => {
            let is_new = !model.contains_key(&message);
            model.entry(message).or_default();
            is_new
        }
        Step::StartAttempt { message } => {
            let Some(attempts) = model.get_mut(&message) else { return false };
            let none_in_flight = attempts.iter().all(|attempt| attempt.possibly_executed.is_some());
            if none_in_flight {
                attempts.push(Attempt { sent_at: now, possibly_executed: None });
            }
            none_in_flight
        }
        Step::FinishAttempt { message, possibly_executed } => {
            let Some(last) = model.get_mut(&message).and_then(|attempts| attempts.last_mut()) else {
                return false;
            };
            let is_in_flight = last.possibly_executed.is_none();
            last.possibly_executed = last.possibly_executed.or(Some(possibly_executed));
            is_in_flight
        }
        Step::Complete { message } => model.remove(&message).is_some(),
        Step::Commit | Step::FailedCommit | Step::Kill => true,
    }
}

fn first_execution_in(attempts: &[Attempt]) -> Option<u64> {
    let executed = attempts.iter().find(|attempt| attempt.possibly_executed != Some(false));
    executed.map(|attempt| attempt.sent_at)
}

fn message_id(message: usize) -> MessageId {
    format!("m{message}").into()
}

/// Compares the pending messages and their possible executions. Through failed commits, kills and continuous compaction, the
/// earliest possible execution is never lost, and an attempt that was not executed never counts as one.
#[test]
fn the_journal_agrees_with_a_simple_model_in_random_histories() {
    let config = ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let removed = std::cell::Cell::new(0);
    let histories = prop::collection::vec(step(), 1..600);
    let played = proptest::test_runner::TestRunner::new(config).run(&histories, |steps| {
        removed.set(removed.get() + play(&steps)?);
        Ok(())
    });
    played.expect("the journal agrees with the model");
    assert!(removed.get() > 100, "only {} segments removed, more than 100 expected", removed.get());
}

/// Runs a history; returns the number of removed segments.
fn play(steps: &[Step]) -> Result<u64, TestCaseError> {
    let mut run = Run::new();
    for (now, &step) in steps.iter().enumerate() {
        run = run.play(step, now as u64)?;
    }
    Ok(run.store.segments.oldest())
}
