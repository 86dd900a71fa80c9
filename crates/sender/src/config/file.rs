//! The keys of the configuration file outside `settings`, which is read by the policy. Unknown keys are ignored.

use std::net::SocketAddr;

use rudderspindle_policy::settings::{Field, ReadError};
use serde::Deserialize;
use serde_json::Value;

use super::gossip::{GossipConfig, GossipConfigError};
use super::limits::Limits;
use crate::event::EndpointList;

/// The contents of the configuration file; `settings` is unparsed.
#[derive(Debug)]
pub(crate) struct Config {
    /// The address on which requests of clients are accepted.
    pub(crate) listen: SocketAddr,
    /// The address of the platform, which serves discovery and receives notifications.
    pub(crate) discovery: SocketAddr,
    /// The address of the control listener; `None` if it is not started.
    pub(crate) control: Option<SocketAddr>,
    /// Seed of the random numbers, as hexadecimal text; empty if missing.
    pub(crate) seed: String,
    /// Resource limits of the process.
    pub(crate) limits: Limits,
    /// The endpoint list to start with if discovery does not respond; `None` if missing.
    pub(crate) known: Option<EndpointList>,
    /// The gossip address of each sender of the fleet, this one included, indexed by sender number; empty if missing.
    pub(crate) peers: Vec<String>,
    /// The address on which gossip is received; `None` if missing.
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The settings of the policy as JSON; null if missing.
    pub(super) settings: Value,
}

impl Config {
    /// Reads the keys outside `settings`.
    ///
    /// # Errors
    ///
    /// [`ReadError`] names a key that is missing, of another type or out of range.
    pub(super) fn read(json: &Value) -> Result<Self, ReadError> {
        let root = Field::new(json, "");
        Ok(Self {
            listen: required_address(&root.child("listen"))?,
            discovery: required_address(&root.child("discovery"))?,
            control: address(&root.child("control"))?,
            seed: root.child("seed").text_or("")?.to_owned(),
            limits: Limits::read(&root.child("limits"))?,
            known: known_endpoint_list(&root.child("known"))?,
            peers: root.child("peers").map(|peer| Ok(peer.text_or("")?.to_owned()))?,
            peer_listen: address(&root.child("peer_listen"))?,
            settings: json.get("settings").cloned().unwrap_or_default(),
        })
    }

    /// The configuration of gossip; `None` if gossip is not allowed, no peers are listed, or the configuration of
    /// gossip is invalid. The error is logged in the last case, and the sender works without gossip.
    pub(crate) fn gossip(&self) -> Option<GossipConfig> {
        if !self.allows_gossip() || self.peers.is_empty() {
            return None;
        }
        match self.gossip_config() {
            Ok(config) => Some(config),
            Err(error) => {
                tracing::warn!(%error, "gossip disabled");
                None
            }
        }
    }

    fn allows_gossip(&self) -> bool {
        let allowed = self.settings.get("limits").and_then(|limits| limits.get("peers"));
        allowed.and_then(Value::as_bool).unwrap_or(false)
    }

    fn gossip_config(&self) -> Result<GossipConfig, GossipConfigError> {
        let me = self.settings.get("me").and_then(Value::as_u64);
        GossipConfig::new(me, self.peer_listen, &self.peers)
    }
}

/// The address and port of a key; `None` if it is missing.
fn address(field: &Field<'_>) -> Result<Option<SocketAddr>, ReadError> {
    if field.is_missing() {
        return Ok(None);
    }
    let parsed = field.value().as_str().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| invalid_address(field))
}

fn required_address(field: &Field<'_>) -> Result<SocketAddr, ReadError> {
    address(field)?.ok_or_else(|| invalid_address(field))
}

fn invalid_address(field: &Field<'_>) -> ReadError {
    field.invalid("an address and a port, as in \"127.0.0.1:9000\"")
}

fn known_endpoint_list(field: &Field<'_>) -> Result<Option<EndpointList>, ReadError> {
    Option::deserialize(field.value())
        .map_err(|error| field.invalid(&format!("a list of receivers ({error})")))
}
