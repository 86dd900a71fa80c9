//! Entries of an endpoint list and their wire format.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::scenario::Phase;

/// An entry of a sender's endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the endpoint, unique in the list.
    pub id: String,
    /// Address at which the sender of this list reaches the endpoint.
    pub addr: SocketAddr,
    /// Zone of the endpoint.
    pub zone: String,
    /// Kind of the endpoint: one of the values of `kinds` in the settings.
    pub kind: String,
    /// Number of the receiver that the endpoint belongs to.
    pub receiver: u16,
    /// Phase of the endpoint: serving, draining or deleted.
    pub phase: Phase,
    /// Calls per second that the receiver accepts from all senders together.
    pub per_s: f64,
}

impl Entry {
    /// The entry in its wire format.
    pub(super) fn json(&self) -> Value {
        json!({"id": self.id, "host_port": self.addr.to_string(), "locality": self.zone, "flavor": self.kind,
               "cell": self.receiver, "phase": self.phase.wire_name(), "size": self.per_s, "up_since_ms": 0})
    }
}
