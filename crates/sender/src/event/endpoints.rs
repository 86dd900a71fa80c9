//! The endpoint list as discovery sends it.

use serde::Deserialize;

/// An endpoint list, or the changed entries of one.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The list's revision at the discovery service.
    pub revision: u64,
    /// Whether this is the complete list, so that what it lacks has been removed.
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
    /// The rate that it announces, in calls per second; 0 for none.
    #[serde(default, rename = "size")]
    pub rate: f64,
}
