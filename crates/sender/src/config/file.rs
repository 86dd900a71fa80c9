//! The configuration's own keys, without the policy's settings. Unknown keys are ignored.

use std::net::SocketAddr;

use rudderspindle_policy::settings::{Field, ReadError};
use serde::Deserialize;
use serde_json::Value;

use super::gossip::{GossipConfig, GossipConfigError};
use super::limits::Limits;
use crate::event::EndpointList;

/// The contents of the configuration file.
#[derive(Debug)]
pub(crate) struct Config {
    /// The address for clients.
    pub(crate) listen: SocketAddr,
    /// The platform's address, for discovery and notifications.
    pub(crate) discovery: SocketAddr,
    /// The address of the control listener; `None` for none.
    pub(crate) control: Option<SocketAddr>,
    /// Seed of the random numbers, as hexadecimal text.
    pub(crate) seed: String,
    /// Resource limits of the process.
    pub(crate) limits: Limits,
    /// The last known endpoint list.
    pub(crate) known: Option<EndpointList>,
    /// The gossip address of each sender of the fleet, by its number.
    pub(crate) peers: Vec<String>,
    /// The address on which gossip is received.
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The settings of the policy.
    pub(super) settings: Value,
}

impl Config {
    /// Reads the configuration's own keys.
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
            known: known_list(&root.child("known"))?,
            peers: root.child("peers").map(|peer| Ok(peer.text_or("")?.to_owned()))?,
            peer_listen: address(&root.child("peer_listen"))?,
            settings: json.get("settings").cloned().unwrap_or_default(),
        })
    }

    /// The configuration of gossip; `None` if there is none. A configuration that cannot be used is logged, and the
    /// sender works without gossip.
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

/// An optional address with a port.
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

fn known_list(field: &Field<'_>) -> Result<Option<EndpointList>, ReadError> {
    Option::deserialize(field.value())
        .map_err(|error| field.invalid(&format!("a list of receivers ({error})")))
}
