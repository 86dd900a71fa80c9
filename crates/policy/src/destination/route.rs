//! A route: one endpoint of a destination.

use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{Listing, Millis, RouteEntry, RouteId};
use crate::throttle::Throttle;

/// How long a route that was removed from the list is kept, in ms, because it may be listed again.
const REMOVED_ROUTE_TTL: Millis = 60_000.0;

/// An endpoint of a destination. The route is kept for [`REMOVED_ROUTE_TTL`] after it was removed from the
/// list, and while calls to it are in flight.
#[derive(Debug)]
pub(super) struct Route {
    pub id: RouteId,
    pub zone: u8,
    pub listing: Listing,
    /// Whether other senders have ejected the route as an outlier.
    pub ejected: bool,
    /// The throttle of this route; not used if all routes share a throttle.
    pub throttle: Throttle,
    pub breaker: CircuitBreaker,
    /// When the last call by this route started; 0 before the first call.
    pub last_used_at: Millis,
    /// When the route was removed from the list; `None` while it is listed.
    removed_at: Option<Millis>,
}

impl Route {
    /// Creates a route from its entry in the list, with a closed circuit breaker.
    pub fn new(entry: &RouteEntry, throttle: Throttle) -> Self {
        Self {
            id: entry.route,
            zone: entry.zone,
            listing: entry.listing,
            ejected: false,
            throttle,
            breaker: CircuitBreaker::default(),
            last_used_at: 0.0,
            removed_at: None,
        }
    }

    /// Whether the list allows new calls to the route.
    pub fn is_ready(&self) -> bool {
        self.listing == Listing::Ready
    }

    /// Updates `removed_at` after a change of the list.
    pub fn update_removal(&mut self, now: Millis) {
        let is_removed = self.listing == Listing::Removed;
        self.removed_at = is_removed.then(|| self.removed_at.unwrap_or(now));
    }

    /// Whether the route was removed from the list more than [`REMOVED_ROUTE_TTL`] ago.
    pub fn is_outdated(&self, now: Millis) -> bool {
        self.removed_at.is_some_and(|removed_at| now - removed_at > REMOVED_ROUTE_TTL)
    }
}
