//! The list of routes, and what is handed in. No decision.

use super::{DestinationId, MessageHandle, Millis, RouteId};

/// What the list says of a route. It tells nothing of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// May be sent to.
    #[default]
    Ready,
    /// Takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list of routes.
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
    /// What the list says of it.
    pub listing: Listing,
    /// The rate told for it; see [`RateHint`].
    pub rate: f64,
}

/// How the list of routes changes.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The complete list: what is not in it is gone.
    Full(Vec<RouteEntry>),
    /// The complete list as last held, perhaps stale.
    Cached(Vec<RouteEntry>),
    /// Changed lines only.
    Delta(Vec<RouteEntry>),
    /// A subscription or fetch failed, or the subscription broke; the list is as before.
    Failed,
}

/// A message handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its id.
    pub id: MessageHandle,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: usize,
    /// Its ordering key; 0 for none.
    pub ordering_key: u64,
    /// How long it may still be delivered.
    pub time_left: Millis,
    /// A guess of the call's cost in time, where there is one.
    pub work_guess: Option<Millis>,
    /// Where it must go.
    pub destination: DestinationId,
}

/// What happened to a message before the sender came up, as its host has it on record.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// Attempts used. None of them is out any more.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub possibly_executed: Option<PriorExecution>,
}

/// An attempt of the past that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorExecution {
    /// How long ago it was sent.
    pub ago: Millis,
    /// By which route; it may have left the list since.
    pub route: RouteId,
    /// The route's zone.
    pub zone: u8,
}
