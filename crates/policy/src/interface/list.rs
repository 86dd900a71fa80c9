//! The endpoint list, and the messages that are submitted.

use super::{DestinationId, MessageHandle, Millis, RouteId};

/// The state of a route in the endpoint list, which does not include its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// Takes calls.
    #[default]
    Ready,
    /// Draining: takes no new calls.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The route.
    pub route: RouteId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: u8,
    /// Its destination's kind.
    pub kind: u16,
    /// Its state in the list.
    pub listing: Listing,
    /// The listed rate; see [`RateHint`](super::RateHint).
    pub rate: f64,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The complete list: routes that are not in it are removed.
    Full(Vec<RouteEntry>),
    /// The complete list from a cache, perhaps stale.
    Cached(Vec<RouteEntry>),
    /// Changed entries only.
    Delta(Vec<RouteEntry>),
    /// A subscription or fetch failed, or the subscription broke; the list is as before.
    Failed,
}

/// A message that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its id.
    pub id: MessageHandle,
    /// Its class.
    pub class: usize,
    /// Its tenant; ignored where there are none.
    pub tenant: usize,
    /// Its ordering key; 0 for none.
    pub ordering_key: u64,
    /// Time until it expires.
    pub time_left: Millis,
    /// An estimate of its processing time, if known.
    pub work_estimate: Option<Millis>,
    /// Its destination.
    pub destination: DestinationId,
}

/// The attempts of a message before a restart, as the host has recorded them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// Number of attempts; none of them is in flight.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub possibly_executed: Option<PriorExecution>,
}

/// An attempt before a restart that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorExecution {
    /// How long ago it was sent.
    pub ago: Millis,
    /// The route that it was sent by; it may have been removed since.
    pub route: RouteId,
    /// The route's zone.
    pub zone: u8,
}
