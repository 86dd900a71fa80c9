//! Errors of a start.

use std::io;
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
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// The configuration is not JSON.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its position in the file.
        #[source]
        error: serde_json::Error,
    },
    /// The settings contradict each other.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A value is missing, of another type or out of range.
    #[error("{0}")]
    Read(#[from] ReadError),
    /// The fleet has no senders.
    #[error(
        "settings.peers_total is 0, and peers lists nobody: a whole number of senders from 1 on is wanted"
    )]
    NoSenders,
    /// A class, by its name, is configured to be delivered in order, which the protocol does not support.
    #[error(
        "settings.lanes[*].in_order ({0:?}) is true: false is wanted, as messages come without a key for it"
    )]
    Ordered(String),
    /// The journal cannot be opened.
    #[error("the journal in {path} cannot be used: {error}")]
    Journal {
        /// The folder.
        path: PathBuf,
        /// The cause.
        #[source]
        error: JournalError,
    },
    /// The persistent state of the process cannot be written.
    #[error("the folder {path} keeps nothing: {error}")]
    State {
        /// The folder.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        error: io::Error,
    },
}
