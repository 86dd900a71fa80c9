//! The endpoint list, decoded from the JSON of discovery.

use serde::{Deserialize, Serialize};

/// A complete endpoint list, or the entries that have changed since an earlier revision.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The revision of the list, from which the watch continues.
    pub revision: u64,
    /// Whether this is the complete list. If so, receivers that are not in it have been removed.
    pub complete: bool,
    /// The entries: all receivers of a complete list, otherwise the changed receivers.
    pub members: Vec<Endpoint>,
}

/// A receiver in an endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The receiver's id.
    pub id: String,
    /// The address to call, as `IP:port`.
    #[serde(default)]
    pub host_port: String,
    /// Name of the receiver's zone.
    #[serde(default, rename = "locality")]
    pub zone: String,
    /// Name of the receiver's kind in the settings.
    #[serde(default, rename = "flavor")]
    pub kind: String,
    /// The receiver's destination.
    #[serde(rename = "cell")]
    pub destination: u16,
    /// The receiver's lifecycle phase: `SERVING`, `DELETED`, or any other text while the receiver drains.
    pub phase: String,
    /// The receiver's announced rate limit, in calls per second; 0 for none.
    #[serde(default, rename = "size")]
    pub rate: f64,
}
