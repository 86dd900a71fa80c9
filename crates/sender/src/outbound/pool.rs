//! The pool of idle connections to receivers, which later requests reuse.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_policy::interface::RouteId;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Outbound;
use super::connection::Connection;

/// How long before the receiver's idle timeout this process closes a connection. The margin is necessary because the
/// receiver's timeout starts earlier than this process's, when the receiver writes its response.
pub(super) const IDLE_CLOSE_MARGIN: Duration = Duration::from_secs(2);

/// The idle connections by route; the longest idle connection of a route is first.
#[derive(Debug)]
pub(super) struct IdlePool {
    by_route: RefCell<HashMap<RouteId, Vec<Connection>>>,
    /// The locks of routes, which the calls of a route hold one after the other while they wait for an idle connection.
    turns: RefCell<HashMap<RouteId, Rc<Mutex<()>>>>,
    max_idle_time: Duration,
}

impl IdlePool {
    /// Creates an empty pool that closes connections once they have been idle for `max_idle_time`.
    pub(super) fn new(max_idle_time: Duration) -> Self {
        Self { by_route: RefCell::default(), turns: RefCell::default(), max_idle_time }
    }

    /// Takes the idle connection of a route that was used last among those that may be used now for a call (see
    /// [`Connection::usable_at`] and [`Connection::is_safe_for_unrepeatable_calls`]), so that the others can expire.
    /// Returns `None` if the route has no such connection.
    pub(super) fn take(&self, route: RouteId, idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut by_route = self.by_route.borrow_mut();
        let connections = by_route.get_mut(&route)?;
        connections.retain(|connection| connection.is_reusable(now, self.max_idle_time));
        let is_usable = |connection: &Connection| {
            connection.usable_at() <= now && (idempotent || connection.is_safe_for_unrepeatable_calls())
        };
        let index = connections.iter().rposition(is_usable)?;
        let mut connection = connections.remove(index);
        connection.mark_in_use();
        Some(connection)
    }

    /// The lock of a route, which is granted in the order of the requests.
    pub(super) fn turn(&self, route: RouteId) -> Rc<Mutex<()>> {
        self.turns.borrow_mut().entry(route).or_default().clone()
    }

    /// When the next idle connection of a route may be used for a call; `None` if no connection will be.
    pub(super) fn next_usable_at(&self, route: RouteId, idempotent: bool) -> Option<Instant> {
        let by_route = self.by_route.borrow();
        let is_usable_later = |connection: &&Connection| {
            connection.is_reusable(connection.usable_at(), self.max_idle_time)
                && (idempotent || connection.is_safe_for_unrepeatable_calls())
        };
        by_route.get(&route)?.iter().filter(is_usable_later).map(Connection::usable_at).min()
    }

    /// Closes the idle connections of a route.
    pub(super) fn remove_route(&self, route: RouteId) {
        self.by_route.borrow_mut().remove(&route);
    }

    /// Closes the idle connections of all routes but `listed_routes`.
    pub(super) fn retain_routes(&self, listed_routes: &HashSet<RouteId>) {
        self.by_route.borrow_mut().retain(|route, _| listed_routes.contains(route));
    }

    /// Closes connections that have been idle for the maximum time, and removes the locks that no call uses.
    pub(super) fn remove_expired(&self, now: Instant) {
        self.turns.borrow_mut().retain(|_, turn| Rc::strong_count(turn) > 1);
        self.by_route.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_reusable(now, self.max_idle_time));
            !connections.is_empty()
        });
    }

    /// Closes the connection that has been idle longest, over all routes; returns `false` if none is idle.
    pub(super) fn close_longest_idle(&self) -> bool {
        let mut by_route = self.by_route.borrow_mut();
        let non_empty = by_route.values_mut().filter(|connections| !connections.is_empty());
        let Some(connections) = non_empty.min_by_key(|connections| connections[0].idle_since()) else {
            return false;
        };
        connections.remove(0);
        true
    }

    fn put(&self, route: RouteId, connection: Connection) {
        self.by_route.borrow_mut().entry(route).or_default().push(connection);
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_route.borrow().values().map(Vec::len).sum()
    }

    #[cfg(test)]
    pub(super) fn max_idle_time(&self) -> Duration {
        self.max_idle_time
    }
}

impl Outbound {
    /// Returns a connection without a request in flight to the pool. The connection is closed instead if it has ended,
    /// or if the route no longer accepts calls at its address.
    pub(super) fn return_to_pool(&self, route: RouteId, mut connection: Connection) {
        connection.mark_idle();
        if self.routes.is_ready_at(route, connection.addr()) && !connection.sender.is_closed() {
            connection.limit_unacknowledged(None);
            self.idle.put(route, connection);
        }
    }
}
