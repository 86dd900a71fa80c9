//! A destination: its routes, the throttles and circuit breakers of their limits, and its waiting messages.

mod availability;
mod demand;
mod dispatch;
mod outage_detection;
mod outage_memory;
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

/// A receiver's system. Removed once its last route is and no message waits for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    id: DestinationId,
    /// Maximum number of messages in one call.
    max_batch: usize,
    /// Whether each route has a limit, and so a throttle, of its own.
    limit_per_route: bool,
    routes: Vec<Route>,
    /// The throttle of all routes, unless each has its own.
    shared_throttle: Throttle,
    /// The circuit breaker of all routes, unless each has a limit of its own.
    shared_breaker: CircuitBreaker,
    /// Messages that may be sent or completed: none of their attempts is in flight.
    waiting: Vec<MessageHandle>,
    calls: Calls,
    arrival_rate: ArrivalRate,
}

impl Destination {
    /// A destination without routes and messages.
    pub fn new(id: DestinationId) -> Self {
        Self { id, ..Self::default() }
    }

    /// Adds a route that the list has named for the first time.
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

    /// Applies a changed entry of the list. Returns whether it names a known route.
    pub fn update_route(&mut self, entry: &RouteEntry) -> bool {
        let route = self.routes.iter_mut().find(|route| route.id == entry.route);
        route.map(|route| route.listing = entry.listing).is_some()
    }

    /// Marks all routes as removed from the list.
    pub fn remove_all_routes(&mut self) {
        for route in &mut self.routes {
            route.listing = Listing::Removed;
        }
    }

    /// Marks the routes that other senders have ejected as outliers.
    pub fn apply_ejections(&mut self, ejected: &[RouteId]) {
        for route in &mut self.routes {
            route.ejected = ejected.contains(&route.id);
        }
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Drops the routes that the list removed long ago, unless a call is in flight.
    pub fn drop_outdated_routes(&mut self, now: Millis) {
        for route in &mut self.routes {
            route.update_removal(now);
        }
        let calls = &self.calls;
        self.routes.retain(|route| calls.count_of(route.id) > 0 || !route.is_outdated(now));
    }

    /// Whether it has neither routes nor waiting messages.
    pub fn is_unused(&self) -> bool {
        self.routes.is_empty() && self.waiting.is_empty()
    }

    /// Messages that may be sent or completed.
    pub fn waiting(&self) -> &[MessageHandle] {
        &self.waiting
    }

    /// Adds a waiting message.
    pub fn enqueue(&mut self, id: MessageHandle) {
        self.waiting.push(id);
    }

    /// Removes a waiting message that was completed.
    pub fn remove_waiting(&mut self, id: MessageHandle) {
        self.waiting.retain(|&waiting| waiting != id);
    }

    /// Counts a message that has just been accepted and waits. The first one schedules its draw among the
    /// calls of all senders.
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
