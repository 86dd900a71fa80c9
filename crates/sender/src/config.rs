//! The configuration: read, checked, and in the terms of those that use it.

mod limits;
mod start_error;

use std::net::SocketAddr;
use std::path::Path;

use rudderspindle_policy::interface::Settings;
use rudderspindle_policy::settings::{self, Field, Names, ReadError};
use serde::Deserialize;
use serde_json::Value;

use crate::event::EndpointList;
use crate::fleet_file::FleetFile;
use limits::Limits;
pub use start_error::StartError;

/// The configuration as its file has it.
#[derive(Debug)]
pub(crate) struct Config {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    /// Where operators call; nowhere, if it is not there.
    pub(crate) control: Option<SocketAddr>,
    pub(crate) seed: String,
    pub(crate) limits: Limits,
    pub(crate) known: Option<EndpointList>,
    /// An address for notes to each sender of the tier, in the order of their numbers.
    pub(crate) peers: Vec<String>,
    /// Where notes arrive.
    pub(crate) peer_listen: Option<SocketAddr>,
    settings: Value,
}

/// An address and a port, if there is one.
fn address(field: &Field<'_>) -> Result<Option<SocketAddr>, ReadError> {
    if field.is_missing() {
        return Ok(None);
    }
    field.value().as_str().and_then(|text| text.parse().ok()).map(Some).ok_or_else(|| refuse_addr(field))
}

fn refuse_addr(field: &Field<'_>) -> ReadError {
    field.refuse("an address and a port, as in \"127.0.0.1:9000\",")
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
    /// Reads the configuration's own keys; those that are not known are skipped.
    fn read(json: &Value) -> Result<Self, ReadError> {
        let root = Field::new(json, "");
        let required =
            |key| address(&root.child(key)).and_then(|a| a.ok_or_else(|| refuse_addr(&root.child(key))));
        let known = root.child("known");
        Ok(Self {
            listen: required("listen")?,
            discovery: required("discovery")?,
            control: address(&root.child("control"))?,
            seed: root.child("seed").text_or("")?.to_owned(),
            limits: Limits::read(&root.child("limits"))?,
            known: Option::deserialize(known.value())
                .map_err(|error| known.refuse(&format!("a list of receivers ({error})")))?,
            peers: root.child("peers").map(|peer| Ok(peer.text_or("")?.to_owned()))?,
            peer_listen: address(&root.child("peer_listen"))?,
            settings: json.get("settings").cloned().unwrap_or_default(),
        })
    }

    /// Nothing where notes are not allowed, and with one line in the log where what is told of peers cannot be used: a
    /// sender does without them.
    pub(crate) fn notes(&self) -> Option<Notes> {
        let allowed = self.settings.get("limits").and_then(|limits| limits.get("peers"));
        if !allowed.and_then(Value::as_bool).unwrap_or(false) || self.peers.is_empty() {
            return None;
        }
        let doubt = |what: String| tracing::warn!("{what}; going without notes to other senders");
        let me = self.settings.get("me").and_then(Value::as_u64);
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
pub struct ValidatedConfig {
    pub(crate) config: Config,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) fleet: FleetFile,
}

impl ValidatedConfig {
    /// Reads a configuration and checks it.
    ///
    /// # Errors
    ///
    /// [`StartError`] if it cannot be read or cannot work; it names the file or the setting.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let text =
            std::fs::read(path).map_err(|error| StartError::Unreadable { path: path.to_owned(), error })?;
        let json: Value = serde_json::from_slice(&text)
            .map_err(|error| StartError::Malformed { path: path.to_owned(), error })?;
        let config = Config::read(&json)?;
        let mut settings = settings::read(&config.settings)?;
        let names = settings::names(&config.settings)?;
        let mut classes = names.classes.iter().zip(&settings.classes);
        if let Some((name, _)) = classes.find(|(_, class)| class.ordered) {
            return Err(StartError::Ordered(name.clone()));
        }
        let told = config.settings.get("peers_total").filter(|told| !told.is_null());
        let told = told.map(|_| settings.peers_total);
        let (senders, doubt) = senders(told, config.peers.len());
        if senders == 0 {
            return Err(StartError::NoSenders);
        }
        settings.peers_total = senders;
        settings.validate()?;
        // Only now: who cannot start says why, and nothing else.
        if let Some(doubt) = doubt {
            tracing::warn!("{doubt}; reckoning with {senders} senders");
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
mod golden;
#[cfg(test)]
mod tests;
