//! File locks that let at most two processes use a journal folder: its owner and the owner's successor.
//!
//! The operating system releases a lock when the process that holds it exits, even after a crash.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

use crate::JournalError;

/// Name of the file that the owner keeps locked.
const OWNER_LOCK_FILE: &str = "lock";
/// Name of the file that the successor keeps locked until it becomes the owner.
const SUCCESSOR_LOCK_FILE: &str = "lock-next";

/// The role of this process in a journal folder. The role is free for another process once this value is dropped.
#[derive(Debug)]
pub(crate) enum FolderLock {
    /// This process owns all segments in the folder.
    Owner {
        /// The owner's lock file, locked by this process.
        _lock: LockFile,
    },
    /// Another process owns the folder; this process owns only the segments that it writes.
    Successor {
        /// The owner's lock file, not yet locked by this process.
        owner: LockFile,
        /// The successor's lock file, locked by this process.
        _lock: LockFile,
    },
}

impl FolderLock {
    /// Takes the role of the owner if it is free, otherwise the role of the successor.
    ///
    /// # Errors
    ///
    /// [`JournalError::FolderInUse`] if both roles are taken; [`JournalError::Io`] if the lock files cannot be used.
    pub fn acquire(folder: &Path) -> Result<Self, JournalError> {
        let owner = LockFile::open(folder.join(OWNER_LOCK_FILE))?;
        if owner.try_lock()? {
            return Ok(Self::Owner { _lock: owner });
        }
        let successor = LockFile::open(folder.join(SUCCESSOR_LOCK_FILE))?;
        if !successor.try_lock()? {
            return Err(JournalError::FolderInUse);
        }
        Ok(Self::Successor { owner, _lock: successor })
    }

    /// Whether this process is the owner.
    pub fn is_owner(&self) -> bool {
        matches!(self, Self::Owner { .. })
    }

    /// Tries to lock the owner's lock file. Returns false while the owner runs, and if this process is the owner.
    ///
    /// Once this method has returned true, no other process can become the owner.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the lock file cannot be used.
    pub fn try_lock_as_owner(&self) -> Result<bool, JournalError> {
        match self {
            Self::Owner { .. } => Ok(false),
            Self::Successor { owner, .. } => owner.try_lock(),
        }
    }

    /// Makes this process the owner, and releases the successor's lock. Does nothing if it is the owner already.
    ///
    /// Must be called only after [`FolderLock::try_lock_as_owner`] returned true.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the lock file's descriptor cannot be duplicated.
    pub fn become_owner(&mut self) -> Result<(), JournalError> {
        if let Self::Successor { owner, .. } = self {
            *self = Self::Owner { _lock: owner.try_clone()? };
        }
        Ok(())
    }
}

/// An open lock file. A lock on it is released when its last clone is dropped.
#[derive(Debug)]
pub(crate) struct LockFile {
    file: File,
    path: PathBuf,
}

impl LockFile {
    fn open(path: PathBuf) -> Result<Self, JournalError> {
        let opened = OpenOptions::new().create(true).append(true).open(&path);
        let file = opened.map_err(JournalError::at(&path))?;
        Ok(Self { file, path })
    }

    /// Tries to lock the file; returns false if another process holds the lock.
    fn try_lock(&self) -> Result<bool, JournalError> {
        match self.file.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(JournalError::at(&self.path)(error)),
        }
    }

    fn try_clone(&self) -> Result<Self, JournalError> {
        let file = self.file.try_clone().map_err(JournalError::at(&self.path))?;
        Ok(Self { file, path: self.path.clone() })
    }
}
