//! The endpoint list in the encoding of discovery.

use serde::Deserialize;

/// An endpoint list, or the changed entries of one.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The list's revision.
    pub revision: u64,
    /// Whether this is the complete list; receivers that are not in it have been removed then.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Endpoint>,
}

/// A receiver in an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The receiver's id.
    pub id: String,
    /// Address to call, `IP:port`.
    #[serde(default)]
    pub host_port: String,
    /// Name of its zone.
    #[serde(default, rename = "locality")]
    pub zone: String,
    /// Name of its kind in the settings.
    #[serde(default, rename = "flavor")]
    pub kind: String,
    /// Its destination.
    #[serde(rename = "cell")]
    pub destination: u16,
    /// Its lifecycle phase: `SERVING`, `DELETED`, or another while it drains.
    pub phase: String,
    /// Its announced rate limit, in calls per second; 0 for none.
    #[serde(default, rename = "size")]
    pub rate: f64,
}
