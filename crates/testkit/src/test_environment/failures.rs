//! Failures of senders during a test, collected from the tasks that play the scenario's events.

use std::sync::{Arc, Mutex, PoisonError};

use crate::program::ProgramError;

/// A failure of a sender's process that the checker cannot see.
#[derive(Debug, thiserror::Error)]
pub enum RunFailure {
    /// It did not exit with success after SIGTERM, or not in time.
    #[error("a sender did not exit cleanly after SIGTERM")]
    UncleanExit,
    /// The process that was replaced did not exit with success.
    #[error("a sender did not exit cleanly after a takeover")]
    UncleanTakeover,
    /// It could not be started, stopped or configured.
    #[error(transparent)]
    Program(#[from] ProgramError),
}

/// The failures so far; clones collect into the same list.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures(Arc<Mutex<Vec<RunFailure>>>);

impl Failures {
    /// Records the result of stopping a process: whether it exited cleanly, else `unclean`.
    pub(super) fn check_exit(&self, exited_cleanly: Result<bool, ProgramError>, unclean: RunFailure) {
        match exited_cleanly {
            Ok(true) => {}
            Ok(false) => self.push(unclean),
            Err(error) => self.push(error.into()),
        }
    }

    /// Records an error.
    pub(super) fn check(&self, result: Result<(), ProgramError>) {
        if let Err(error) = result {
            self.push(error.into());
        }
    }

    /// Removes and returns all failures.
    pub(super) fn take(&self) -> Vec<RunFailure> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, failure: RunFailure) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(failure);
    }
}
