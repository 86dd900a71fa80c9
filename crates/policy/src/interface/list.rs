//! The endpoint list, and submitted messages with their attempt history.

use super::{DestinationId, MessageHandle, Millis, RouteId};

/// The state of a route in the endpoint list; health is not part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The route accepts new calls.
    #[default]
    Ready,
    /// The route is draining and accepts no new calls.
    Draining,
    /// The route was removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The route.
    pub route: RouteId,
    /// The destination of the route.
    pub destination: DestinationId,
    /// Zone of the endpoint, as an index.
    pub zone: u8,
    /// Kind of the destination, as an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: u16,
    /// State of the route in the list.
    pub listing: Listing,
    /// The listed rate, in calls per second; [`RateHint`](super::RateHint) defines its meaning.
    pub rate: f64,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The complete list; routes that are not in it are removed.
    Full(Vec<RouteEntry>),
    /// The complete list from a cache; it may be stale.
    Cached(Vec<RouteEntry>),
    /// The changed entries only.
    Delta(Vec<RouteEntry>),
    /// A subscription or fetch has failed, or the subscription was interrupted; the list is unchanged.
    Failed,
}

/// A message that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Handle that the host has assigned to the message.
    pub id: MessageHandle,
    /// Class of the message, as an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Tenant of the message, as an index; ignored if [`Settings::tenants`](super::Settings::tenants) is
    /// empty.
    pub tenant: usize,
    /// Ordering key of the message; 0 for none.
    pub ordering_key: u64,
    /// Time from now until the message expires.
    pub time_left: Millis,
    /// Estimated processing time of the message, if known.
    pub work_estimate: Option<Millis>,
    /// Destination of the message.
    pub destination: DestinationId,
}

/// The attempts of a message before a restart, as the host has recorded them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// Number of attempts, none of which is still in flight.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub possibly_executed: Option<PriorExecution>,
}

/// An attempt before a restart that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorExecution {
    /// Time since the attempt was sent.
    pub ago: Millis,
    /// The route by which the attempt was sent; it may have been removed since.
    pub route: RouteId,
    /// The zone of the route.
    pub zone: u8,
}
