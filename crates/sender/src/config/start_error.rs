//! Why a sender cannot start.

use std::net::SocketAddr;
use std::path::PathBuf;

use rudderspindle_journal::JournalError;
use rudderspindle_policy::interface::SettingsError;
use rudderspindle_policy::settings::ReadError;

/// Why a sender cannot start, or cannot use a configuration.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration's file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The configuration is no JSON.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What went wrong, and where.
        error: serde_json::Error,
    },
    /// The settings cannot work.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A value that is missing, of another type or out of its range.
    #[error("{0}")]
    Read(#[from] ReadError),
    /// A tier without senders.
    #[error(
        "settings.peers_total is 0, and peers lists nobody: a whole number of senders from 1 on is wanted"
    )]
    NoSenders,
    /// A class in order, which the protocol has no key for.
    #[error(
        "settings.lanes[*].in_order ({0:?}) is true: false is wanted, as messages come without a key for it"
    )]
    Ordered(String),
    /// The journal's folder cannot be used.
    #[error("the journal in {path} cannot be used: {error}")]
    Journal {
        /// The folder.
        path: PathBuf,
        /// What went wrong.
        error: JournalError,
    },
    /// What must outlast the process cannot be kept.
    #[error("the folder {path} keeps nothing: {error}")]
    State {
        /// The folder.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The address for clients cannot be had.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What went wrong.
        error: std::io::Error,
    },
}
