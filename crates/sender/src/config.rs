//! The configuration: read, checked, and in the terms of those that use it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use rudderspindle_decide::interface::{Settings, SettingsError};
use rudderspindle_decide::settings::{self, Names, ReadError};
use serde::Deserialize;

use crate::event::List;
use crate::fleet_file::FleetFile;

/// Descriptors that are neither clients' nor receivers': files, the listener, discovery, the runtime's.
const OTHER_SOCKETS: usize = 40;
/// Part of the memory limit for bodies that have not come whole, and between which limits it is reckoned.
const BODY_PART: f64 = 0.125;
const MEMORY_MB: (f64, f64) = (8.0, 192.0);

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
    /// The configuration is no JSON, or not of its form.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What went wrong, and where.
        error: serde_json::Error,
    },
    /// No descriptors are left for clients and receivers.
    #[error("limits.sockets: {0} are too few")]
    FewSockets(usize),
    /// The settings cannot work.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The settings cannot be read.
    #[error("{0}")]
    Read(#[from] ReadError),
    /// Classes without names, or names without classes.
    #[error("settings name {names} classes of message and tell of {classes}")]
    Names {
        /// Names.
        names: usize,
        /// Classes.
        classes: usize,
    },
    /// A class in order, which the protocol has no key for.
    #[error("class {0} asks for order, and messages come without a key to keep it by")]
    Ordered(String),
    /// The journal's folder cannot be used.
    #[error("the journal in {path} cannot be used: {error}")]
    Journal {
        /// The folder.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
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

/// The configuration as its file has it.
#[derive(Debug, Deserialize)]
pub(crate) struct Config {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    /// Where operators call; nowhere, if it is not there.
    #[serde(default)]
    pub(crate) control: Option<SocketAddr>,
    #[serde(default)]
    pub(crate) seed: String,
    pub(crate) limits: Limits,
    pub(crate) known: Option<List>,
    /// An address for notes to each sender of the tier, in the order of their numbers.
    #[serde(default)]
    pub(crate) peers: Vec<String>,
    /// Where notes arrive.
    #[serde(default)]
    pub(crate) peer_listen: Option<SocketAddr>,
    settings: serde_json::Value,
}

/// What the machine gives.
#[derive(Debug, Deserialize)]
pub(crate) struct Limits {
    sockets: usize,
    pub(crate) disk_mb: f64,
    #[serde(default)]
    memory_mb: f64,
}

impl Limits {
    /// Descriptors for clients, and as many for receivers.
    pub(crate) fn share(&self) -> usize {
        self.sockets.saturating_sub(OTHER_SOCKETS) / 2
    }

    /// Memory for bodies that have not come whole.
    pub(crate) fn body_bytes(&self) -> usize {
        (self.memory_mb.clamp(MEMORY_MB.0, MEMORY_MB.1) * 1_000_000.0 * BODY_PART) as usize
    }
}

/// How many senders share each partner's limit, and what is doubtful about that. What each takes for its part falls
/// with their number, so the larger one is the cautious reading. 0 if nothing tells but a 0.
fn senders(told: Option<usize>, peers: usize) -> (usize, Option<String>) {
    match (told, peers) {
        (Some(told), 0) => (told, None),
        (Some(told), peers) if told == peers => (told, None),
        (Some(told), peers) => {
            (told.max(peers), Some(format!("settings.peers_total is {told}, and peers lists {peers}")))
        }
        (None, 0) => {
            (1, Some("neither settings.peers_total nor peers tells how many senders there are".into()))
        }
        (None, peers) => (peers, Some("settings.peers_total is missing".into())),
    }
}

/// Where notes to and from other senders go, if the tier has them.
#[derive(Clone, Debug)]
pub(crate) struct Notes {
    /// This sender's number.
    pub me: usize,
    pub listen: SocketAddr,
    /// By number.
    pub peers: Vec<SocketAddr>,
}

impl Config {
    /// Nothing where notes are not allowed, and with one line in the log where what is told of peers cannot be used: a
    /// sender does without them.
    pub(crate) fn notes(&self) -> Option<Notes> {
        let allowed = self.settings.get("limits").and_then(|limits| limits.get("peers"));
        if !allowed.and_then(serde_json::Value::as_bool).unwrap_or(false) || self.peers.is_empty() {
            return None;
        }
        let doubt = |what: String| tracing::warn!("{what}; going without notes to other senders");
        let me = self.settings.get("me").and_then(serde_json::Value::as_u64);
        let Some(me) = me.and_then(|me| usize::try_from(me).ok()).filter(|&me| me < self.peers.len()) else {
            doubt(format!("settings.me is not a number below that of peers, {}", self.peers.len()));
            return None;
        };
        let Some(listen) = self.peer_listen else {
            doubt("peers are listed, and peer_listen is missing".to_owned());
            return None;
        };
        let peers: Result<Vec<SocketAddr>, _> = self.peers.iter().map(|addr| addr.parse()).collect();
        let peers = peers.map_err(|error| doubt(format!("peers: {error}"))).ok()?;
        Some(Notes { me, listen, peers })
    }
}

/// A configuration that can work, with its settings in the decision module's terms.
#[derive(Debug)]
pub struct Usable {
    pub(crate) config: Config,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) fleet: FleetFile,
}

impl Usable {
    /// Reads a configuration and checks it.
    ///
    /// # Errors
    ///
    /// [`StartError`] if it cannot be read or cannot work; it names the file or the setting.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let path = path.to_owned();
        let text =
            std::fs::read(&path).map_err(|error| StartError::Unreadable { path: path.clone(), error })?;
        let config: Config =
            serde_json::from_slice(&text).map_err(|error| StartError::Malformed { path, error })?;
        let mut settings = settings::read(&config.settings)?;
        let told = config.settings.get("peers_total").map(|_| settings.peers_total);
        let (senders, doubt) = senders(told, config.peers.len());
        if let Some(doubt) = doubt {
            tracing::warn!("{doubt}; reckoning with {senders} senders");
        }
        settings.peers_total = senders;
        let names = settings::names(&config.settings)?;
        settings.validate()?;
        if names.classes.len() != settings.classes.len() {
            let (names, classes) = (names.classes.len(), settings.classes.len());
            return Err(StartError::Names { names, classes });
        }
        let mut classes = names.classes.iter().zip(&settings.classes);
        if let Some((name, _)) = classes.find(|(_, class)| class.ordered) {
            return Err(StartError::Ordered(name.clone()));
        }
        if config.limits.share() == 0 {
            return Err(StartError::FewSockets(config.limits.sockets));
        }
        Ok(Self { config, settings, names, fleet: FleetFile::default() })
    }

    /// Where operators call, whatever the file says.
    #[must_use]
    pub fn with_control(mut self, control: SocketAddr) -> Self {
        self.config.control = Some(control);
        self
    }

    /// How senders act together, as the operator's file has it.
    #[must_use]
    pub fn with_fleet(mut self, fleet: FleetFile) -> Self {
        self.fleet = fleet;
        self
    }

    /// What the operator's file says, as far as it is taken.
    pub fn fleet(&self) -> &FleetFile {
        &self.fleet
    }

    /// Where discovery and the place for notices are.
    pub fn discovery(&self) -> SocketAddr {
        self.config.discovery
    }
}

#[cfg(test)]
mod tests;
