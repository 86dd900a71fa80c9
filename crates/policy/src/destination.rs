//! A destination: its routes, the throttles and circuit breakers of their limits, and its waiting messages.

mod availability;
mod demand;
mod dispatch;
mod outage_detection;
mod outage_persistence;
mod queue;
mod results;
mod route;
mod route_choice;
mod scope;
mod send;

pub(crate) use dispatch::Dispatch;
pub(crate) use queue::DestinationQueue;

use rudderspindle_gossip::ArrivalRate;

use crate::calls::Calls;
use crate::circuit_breaker::CircuitBreaker;
use crate::context::Context;
use crate::interface::{DestinationId, Kind, Listing, MessageHandle, Millis, RouteEntry, RouteId};
use crate::throttle::{CapacitySource, Throttle};
use route::Route;

/// The routes to one receiver, and the messages that wait to be sent to it. A destination is removed once it
/// has neither routes nor waiting messages.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    id: DestinationId,
    /// Maximum number of messages in one call.
    max_batch: usize,
    /// Whether each route has a limit, and so a throttle, of its own.
    limit_per_route: bool,
    routes: Vec<Route>,
    /// The throttle of all routes; not used if each route has a limit of its own.
    shared_throttle: Throttle,
    /// The circuit breaker of all routes; not used if each route has a limit of its own.
    shared_breaker: CircuitBreaker,
    /// Messages without an attempt in flight; they may be sent or completed.
    waiting: Vec<MessageHandle>,
    calls: Calls,
    arrival_rate: ArrivalRate,
}

impl Destination {
    /// Creates a destination without routes and messages.
    pub fn new(id: DestinationId) -> Self {
        Self { id, ..Self::default() }
    }

    /// Adds a route that was not in the list before.
    pub fn add_route(&mut self, context: &Context, entry: &RouteEntry, kind: &Kind, source: CapacitySource) {
        let throttle = Throttle::for_route(context, entry, source);
        self.max_batch = kind.max_batch;
        self.limit_per_route = kind.limit_per_route;
        if self.routes.is_empty() {
            self.shared_throttle = throttle.clone();
            self.shared_breaker = CircuitBreaker::default();
        }
        self.routes.push(Route::new(entry, throttle));
    }

    /// Applies a changed entry of the list. Returns false if the route of the entry is unknown.
    pub fn update_route(&mut self, entry: &RouteEntry) -> bool {
        let route = self.routes.iter_mut().find(|route| route.id == entry.route);
        route.map(|route| route.listing = entry.listing).is_some()
    }

    /// Marks all routes as removed from the list.
    pub fn mark_all_routes_removed(&mut self) {
        for route in &mut self.routes {
            route.listing = Listing::Removed;
        }
    }

    /// Replaces the set of routes that other senders have ejected as outliers.
    pub fn apply_ejections(&mut self, ejected: &[RouteId]) {
        for route in &mut self.routes {
            route.ejected = ejected.contains(&route.id);
        }
    }

    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Deletes the routes that the list removed more than `REMOVED_ROUTE_TTL` ago, unless a call to them is
    /// in flight.
    pub fn delete_outdated_routes(&mut self, now: Millis) {
        for route in &mut self.routes {
            route.update_removal(now);
        }
        let calls = &self.calls;
        self.routes.retain(|route| calls.count_by_route(route.id) > 0 || !route.is_outdated(now));
    }

    /// Whether the destination has neither routes nor waiting messages.
    pub fn is_unused(&self) -> bool {
        self.routes.is_empty() && self.waiting.is_empty()
    }

    /// Messages without an attempt in flight; they may be sent or completed.
    pub fn waiting(&self) -> &[MessageHandle] {
        &self.waiting
    }

    pub fn enqueue(&mut self, id: MessageHandle) {
        self.waiting.push(id);
    }

    /// Removes a waiting message that was completed.
    pub fn remove_waiting(&mut self, id: MessageHandle) {
        self.waiting.retain(|&waiting| waiting != id);
    }

    /// Counts the arrival of a message that already waits. If no other message waits, its draw is scheduled
    /// at the shared rate.
    pub fn record_arrival(&mut self, context: &mut Context) {
        self.arrival_rate.record(context.now);
        if self.waiting.len() != 1 {
            return;
        }
        for scope in self.throttle_scopes() {
            if let Some(rate) = self.shared_rate(scope, context.now) {
                self.throttle_of_mut(scope).schedule_first_call(context, rate);
            }
        }
    }

    fn route_index(&self, route: RouteId) -> Option<usize> {
        self.routes.iter().position(|candidate| candidate.id == route)
    }
}
