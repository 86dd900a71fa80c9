//! A process that applies the steps of a history to its journal and to the model.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::{TestCaseError, prop_assert, prop_assert_eq};

use super::{Attempt, Model, Step, apply_to, first_execution_in, message_id};
use crate::segments::SEGMENT_SIZE;
use crate::store::Store;
use crate::store::tests::{execution, first_execution};

/// A step whose record is not written yet.
#[derive(Clone, Copy, Debug)]
struct UnwrittenStep {
    step: Step,
    /// When the step was taken.
    taken_at: u64,
}

/// A process with its journal, and models of the expected state in memory and on disk.
pub(super) struct Run {
    folder: tempfile::TempDir,
    pub store: Store,
    /// The expected state in memory.
    in_memory: Model,
    /// The expected state on disk, after the last successful commit.
    on_disk: Model,
    /// Steps that are kept for the next batch if this one cannot be written.
    retained: Vec<UnwrittenStep>,
    /// Steps that are undone if the batch cannot be written.
    provisional: Vec<UnwrittenStep>,
    /// Messages whose completion is not written yet.
    completed: BTreeSet<usize>,
}

impl Run {
    /// Slightly more than the part of the budget that pending entries cannot reserve, so that old segments are compacted
    /// continuously.
    const BUDGET: u64 = 10 * SEGMENT_SIZE;

    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let store = Store::open(folder.path(), Self::BUDGET).expect("a journal");
        Self {
            folder,
            store,
            in_memory: Model::new(),
            on_disk: Model::new(),
            retained: Vec::new(),
            provisional: Vec::new(),
            completed: BTreeSet::new(),
        }
    }

    /// Takes a step, if the sender's engine could take it in this state.
    pub fn play(mut self, step: Step, now: u64) -> Result<Self, TestCaseError> {
        if !self.is_possible(step) || !apply_to(&mut self.in_memory, step, now) {
            return Ok(self);
        }
        match step {
            Step::Accept { message, size } => self.accept(message, size, now),
            Step::StartAttempt { message } => {
                self.store.start_attempt(&message_id(message), execution(now));
                self.provisional.push(UnwrittenStep { step, taken_at: now });
            }
            Step::FinishAttempt { message, possibly_executed } => {
                let attempt = self.in_memory[&message].len() as u32 - 1;
                self.store.finish_attempt(&message_id(message), attempt, possibly_executed);
                self.retained.push(UnwrittenStep { step, taken_at: now });
            }
            Step::Complete { message } => {
                self.store.complete(&message_id(message), None);
                self.completed.insert(message);
                self.retained.push(UnwrittenStep { step, taken_at: now });
            }
            Step::Commit => self.commit()?,
            Step::FailedCommit => self.failed_commit()?,
            Step::Kill => return self.kill(),
        }
        Ok(self)
    }

    fn is_possible(&self, step: Step) -> bool {
        match step {
            // An id is not reused before its completion is written.
            Step::Accept { message, .. } => !self.completed.contains(&message),
            // Only a recorded message is attempted, and only a sent attempt has an outcome.
            Step::StartAttempt { message } => self.on_disk.contains_key(&message),
            Step::FinishAttempt { message, .. } | Step::Complete { message } => {
                !self.provisional.iter().any(|unwritten| match unwritten.step {
                    Step::Accept { message: other, .. } | Step::StartAttempt { message: other } => {
                        other == message
                    }
                    _ => false,
                })
            }
            Step::Commit | Step::FailedCommit | Step::Kill => true,
        }
    }

    fn accept(&mut self, message: usize, size: usize, now: u64) {
        let record = crate::store::tests::message(&message_id(message), size);
        if !self.store.has_space_for(record.reserved_bytes()) {
            self.in_memory.remove(&message);
            return;
        }
        self.store.accept(record);
        self.provisional.push(UnwrittenStep { step: Step::Accept { message, size }, taken_at: now });
    }

    fn commit(&mut self) -> Result<(), TestCaseError> {
        self.store.commit().expect("written");
        for UnwrittenStep { step, taken_at } in self.retained.drain(..).chain(self.provisional.drain(..)) {
            apply_to(&mut self.on_disk, step, taken_at);
        }
        self.completed.clear();
        compare(&self.store, &self.in_memory)
    }

    fn failed_commit(&mut self) -> Result<(), TestCaseError> {
        if self.retained.is_empty() && self.provisional.is_empty() {
            return Ok(());
        }
        self.store.budget = 0;
        self.store.commit().expect_err("no space");
        self.store.budget = Self::BUDGET;
        for UnwrittenStep { step, .. } in self.provisional.drain(..) {
            match step {
                Step::Accept { message, .. } => {
                    self.in_memory.remove(&message);
                    self.store.discard(&message_id(message));
                }
                Step::StartAttempt { message } => {
                    let attempts = self.in_memory.get_mut(&message).expect("a message");
                    let attempt = attempts.len() as u32 - 1;
                    // As in the sender's engine, the attempt keeps its number and was not executed.
                    let last = attempts.last_mut().expect("an attempt");
                    last.possibly_executed = Some(false);
                    self.store.finish_attempt(&message_id(message), attempt, false);
                }
                _ => {}
            }
        }
        compare(&self.store, &self.in_memory)
    }

    /// The process is killed, and another one opens the journal.
    fn kill(mut self) -> Result<Self, TestCaseError> {
        drop(self.store);
        for attempt in self.on_disk.values_mut().flatten() {
            attempt.possibly_executed = attempt.possibly_executed.or(Some(true));
        }
        let store = Store::open(self.folder.path(), Self::BUDGET).expect("a journal");
        compare(&store, &self.on_disk)?;
        // Attempt numbers continue from the recorded ones.
        for (message, attempts) in &mut self.on_disk {
            let pending_message = store.pending_message(&message_id(*message)).expect("a message");
            let recorded_attempts = pending_message.attempts as usize;
            prop_assert!(recorded_attempts >= attempts.len());
            let not_executed = Attempt { sent_at: u64::MAX, possibly_executed: Some(false) };
            attempts.resize(recorded_attempts, not_executed);
        }
        Ok(Self {
            folder: self.folder,
            store,
            in_memory: self.on_disk.clone(),
            on_disk: self.on_disk,
            retained: Vec::new(),
            provisional: Vec::new(),
            completed: BTreeSet::new(),
        })
    }
}

/// Checks that journal and model have the same pending messages with the same earliest possible execution.
fn compare(store: &Store, model: &Model) -> Result<(), TestCaseError> {
    let pending: BTreeMap<String, Option<u64>> = store
        .pending_messages()
        .map(|message| (message.message_id.to_string(), first_execution(store, &message.message_id)))
        .collect();
    let expected: BTreeMap<String, Option<u64>> = model
        .iter()
        .map(|(message, attempts)| (message_id(*message).to_string(), first_execution_in(attempts)))
        .collect();
    prop_assert_eq!(pending, expected);
    Ok(())
}
