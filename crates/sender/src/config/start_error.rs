//! Errors at the start of a sender.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use rudderspindle_journal::JournalError;
use rudderspindle_policy::interface::SettingsError;
use rudderspindle_policy::settings::ReadError;

/// Why a sender does not start, or rejects a configuration.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// The configuration file is not JSON.
    #[error("{path}: {error}")]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The parser's error, with line and column.
        #[source]
        error: serde_json::Error,
    },
    /// The settings contradict each other.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A value is missing, of another type or out of range.
    #[error("{0}")]
    Read(#[from] ReadError),
    /// The number of senders is configured as 0, and no peers are listed.
    #[error("settings.peers_total is 0 and peers is empty: must be a whole number of senders, 1 or more")]
    NoSenders,
    /// The class with this name is configured to be delivered in order, for which requests have no ordering key.
    #[error(
        "settings.lanes[*].in_order ({0:?}) is true: must be false, because messages have no ordering key"
    )]
    Ordered(String),
    /// The journal cannot be opened.
    #[error("the journal in {path} cannot be used: {error}")]
    Journal {
        /// The state folder.
        path: PathBuf,
        /// The cause.
        #[source]
        error: JournalError,
    },
    /// This process's incarnation cannot be stored in the state folder.
    #[error("state cannot be stored in the folder {path}: {error}")]
    State {
        /// The state folder.
        path: PathBuf,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        error: io::Error,
    },
}
