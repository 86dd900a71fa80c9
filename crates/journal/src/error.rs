//! The error type of all journal operations.

use std::io;
use std::path::{Path, PathBuf};

/// Why an operation on a journal failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JournalError {
    /// Another owner and its successor already use the folder.
    #[error("already in use by an owner and its successor; at most two processes may use it")]
    FolderInUse,
    /// The batch does not fit in the disk budget.
    #[error("the records do not fit in the journal's disk budget")]
    Full,
    /// A file or folder of the journal could not be read, written or locked.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder of the failed operation.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl JournalError {
    /// Adds the path to an I/O error: `map_err(JournalError::at(path))`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io { path: path.to_owned(), source }
    }
}
