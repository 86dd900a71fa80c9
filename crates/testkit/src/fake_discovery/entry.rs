//! Entries of the endpoint list.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::scenario::Phase;

/// An entry of a sender's endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the endpoint.
    pub id: String,
    /// Address at which this sender reaches it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind, as the settings name it.
    pub kind: String,
    /// Number of its receiver.
    pub receiver: u16,
    /// Its phase.
    pub phase: Phase,
    /// Calls per second that its receiver accepts from all senders together.
    pub per_s: f64,
}

impl Entry {
    /// The entry as it is on the wire.
    pub(super) fn json(&self) -> Value {
        json!({"id": self.id, "host_port": self.addr.to_string(), "locality": self.zone, "flavor": self.kind,
               "cell": self.receiver, "phase": self.phase.wire_name(), "size": self.per_s, "up_since_ms": 0})
    }
}
