//! Why a journal cannot be opened, written or taken over.

use std::io;
use std::path::{Path, PathBuf};

/// An operation on a journal that failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JournalError {
    /// The folder has an owner and a successor already.
    #[error("two processes use it already")]
    FolderInUse,
    /// The batch does not fit into the disk budget.
    #[error("the journal has no room")]
    Full,
    /// The file system reported an error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the file system reported.
        source: io::Error,
    },
}

impl JournalError {
    /// Attaches the path that an operation was on: `map_err(JournalError::at(path))`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io { path: path.to_owned(), source }
    }
}
