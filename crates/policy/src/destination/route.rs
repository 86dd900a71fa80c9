//! A route: one endpoint of a destination.

use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{Listing, Millis, RouteEntry, RouteId};
use crate::throttle::Throttle;

/// How long a route that the list removed is kept, in ms: the list may name it again.
const REMOVED_ROUTE_TTL: Millis = 60_000.0;

/// An endpoint. Removed some time after the list removed it, once no call is in flight to it.
#[derive(Debug)]
pub(super) struct Route {
    pub id: RouteId,
    pub zone: u8,
    pub listing: Listing,
    /// Whether other senders have ejected it as an outlier.
    pub ejected: bool,
    /// Unused if all routes share a throttle.
    pub throttle: Throttle,
    pub breaker: CircuitBreaker,
    pub last_used_at: Millis,
    /// Since when the list no longer names it.
    removed_at: Option<Millis>,
}

impl Route {
    /// A route that no call has used yet.
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

    /// Whether the list says that calls may start.
    pub fn is_ready(&self) -> bool {
        self.listing == Listing::Ready
    }

    /// Records since when the list no longer names it.
    pub fn update_removal(&mut self, now: Millis) {
        let is_removed = self.listing == Listing::Removed;
        self.removed_at = is_removed.then(|| self.removed_at.unwrap_or(now));
    }

    /// Whether the list removed it so long ago that it may be dropped.
    pub fn is_outdated(&self, now: Millis) -> bool {
        self.removed_at.is_some_and(|removed_at| now - removed_at > REMOVED_ROUTE_TTL)
    }
}
