//! Errors of opening, writing and taking over a journal.

use std::io;
use std::path::{Path, PathBuf};

/// Why an operation on a journal failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JournalError {
    /// The folder already has an owner and a successor.
    #[error("two processes use it already")]
    FolderInUse,
    /// The batch exceeds the disk budget.
    #[error("the journal has no room")]
    Full,
    /// The file system reported an error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The file system's error.
        source: io::Error,
    },
}

impl JournalError {
    /// Attaches the path of an operation: `map_err(JournalError::at(path))`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io { path: path.to_owned(), source }
    }
}
