//! Collects failures of senders from the tasks that play the events of a scenario.

use std::sync::{Arc, Mutex, PoisonError};

use crate::program::ProgramError;

/// A failure of a sender's process. The event log does not contain these failures.
#[derive(Debug, thiserror::Error)]
pub enum RunFailure {
    /// The process did not exit successfully and in time after SIGTERM.
    #[error("a sender did not exit cleanly after SIGTERM")]
    UncleanExit,
    /// The process that was replaced in a takeover did not exit successfully and in time.
    #[error("a sender did not exit cleanly after a takeover")]
    UncleanTakeover,
    /// The process could not be started, stopped or configured.
    #[error(transparent)]
    Program(#[from] ProgramError),
}

/// The failures so far. Clones add to the same list.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures(Arc<Mutex<Vec<RunFailure>>>);

impl Failures {
    /// Records the failure `unclean_exit` if a process did not exit cleanly, or the error of stopping it.
    pub(super) fn check_exit(&self, exited_cleanly: Result<bool, ProgramError>, unclean_exit: RunFailure) {
        match exited_cleanly {
            Ok(true) => {}
            Ok(false) => self.push(unclean_exit),
            Err(error) => self.push(error.into()),
        }
    }

    /// Records the error, if the result is an error.
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
