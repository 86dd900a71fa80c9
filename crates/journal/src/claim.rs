//! Who may read and write a journal's folder: at most two processes, the owner and its successor.
//!
//! Locks of the system's, so that they are free as soon as their holder has ended, however it did.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;

/// Held by the process that owns what the folder holds.
const OWNER: &str = "lock";
/// Held by the one that will, until it does.
const SUCCESSOR: &str = "lock-next";

/// A process's part in a folder.
#[derive(Debug)]
pub(crate) enum FolderLock {
    /// All of the folder is ours while this is held.
    Owner { _lock: File },
    /// Another process owns the folder: only what we write ourselves is ours. `owner` is not locked yet.
    Successor { owner: File, _lock: File },
}

impl FolderLock {
    /// The folder, if nobody has it, or else the place behind its owner.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ResourceBusy`] if there are an owner and a successor already; others if the lock files cannot
    /// be used.
    pub fn of(folder: &Path) -> io::Result<Self> {
        let owner = open(folder, OWNER)?;
        if lock(&owner)? {
            return Ok(Self::Owner { _lock: owner });
        }
        let next = open(folder, SUCCESSOR)?;
        if !lock(&next)? {
            let two = "two processes use it already";
            return Err(io::Error::new(io::ErrorKind::ResourceBusy, two));
        }
        Ok(Self::Successor { owner, _lock: next })
    }

    pub fn is_owner(&self) -> bool {
        matches!(self, Self::Owner { .. })
    }

    /// Whether a successor finds that the owner has ended. Nobody else can be the owner from then on.
    pub fn is_vacant(&self) -> io::Result<bool> {
        match self {
            Self::Owner { .. } => Ok(false),
            Self::Successor { owner, .. } => lock(owner),
        }
    }

    /// Makes a successor the owner, once [`FolderLock::is_vacant`] has said that it can be. Its place behind the owner is free.
    pub fn succeed(&mut self) -> io::Result<()> {
        if let Self::Successor { owner, .. } = self {
            *self = Self::Owner { _lock: owner.try_clone()? };
        }
        Ok(())
    }
}

fn open(folder: &Path, name: &str) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(folder.join(name))
}

fn lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}
