//! The routes of the endpoint list, with the address and the backoff scope of each.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use rudderspindle_policy::interface::{DestinationId, Listing, RouteId};

use super::backoff::BackoffScope;

/// A receiver as the endpoint list describes it.
#[derive(Debug)]
pub struct Route {
    /// Address of the receiver; `None` if the address in the list cannot be parsed.
    pub addr: Option<SocketAddr>,
    /// The receiver's name.
    pub receiver: Rc<str>,
    /// Zone of the receiver.
    pub zone: Rc<str>,
    /// Destination that the receiver belongs to.
    pub destination: DestinationId,
    /// Whether a backoff that the receiver requests applies to this route alone instead of to the whole destination.
    pub has_own_backoff: bool,
    /// Whether the receiver accepts calls.
    pub listing: Listing,
}

/// The receiver of a route and its zone, both by name.
#[derive(Clone, Debug)]
pub struct ReceiverLocation {
    /// The receiver's name.
    pub receiver: Rc<str>,
    /// Zone of the receiver.
    pub zone: Rc<str>,
}

/// The address that a request is sent to, and the scope of a backoff that its response requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) addr: SocketAddr,
    pub(super) backoff_scope: BackoffScope,
}

impl Route {
    fn backoff_scope(&self, id: RouteId) -> BackoffScope {
        if self.has_own_backoff {
            BackoffScope::Route(id)
        } else {
            BackoffScope::Destination(self.destination)
        }
    }
}

/// The routes that are on the endpoint list.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    routes: RefCell<HashMap<RouteId, Route>>,
}

impl RouteTable {
    /// Adds or replaces a route, or removes it if its listing is [`Listing::Removed`].
    pub(super) fn update(&self, id: RouteId, route: Route) {
        let mut routes = self.routes.borrow_mut();
        if route.listing == Listing::Removed {
            routes.remove(&id);
        } else {
            routes.insert(id, route);
        }
    }

    /// Removes all routes but `listed_routes`.
    pub(super) fn retain(&self, listed_routes: &HashSet<RouteId>) {
        self.routes.borrow_mut().retain(|id, _| listed_routes.contains(id));
    }

    /// Whether the route is on the endpoint list with this address.
    pub(super) fn address_matches(&self, id: RouteId, addr: Option<SocketAddr>) -> bool {
        self.routes.borrow().get(&id).is_some_and(|route| route.addr == addr)
    }

    /// Whether the route is on the endpoint list with this address and accepts calls.
    pub(super) fn is_ready_at(&self, id: RouteId, addr: SocketAddr) -> bool {
        let routes = self.routes.borrow();
        routes.get(&id).is_some_and(|route| route.listing == Listing::Ready && route.addr == Some(addr))
    }

    /// The target of a route; `None` if it is not listed or has no address.
    pub(super) fn target(&self, id: RouteId) -> Option<Target> {
        let routes = self.routes.borrow();
        let route = routes.get(&id)?;
        Some(Target { addr: route.addr?, backoff_scope: route.backoff_scope(id) })
    }

    /// The backoff scope of a route; `None` if it does not accept calls.
    pub(super) fn ready_backoff_scope(&self, id: RouteId) -> Option<BackoffScope> {
        let routes = self.routes.borrow();
        let route = routes.get(&id)?;
        (route.listing == Listing::Ready).then(|| route.backoff_scope(id))
    }

    /// The destination of a route; `None` if it is not listed.
    pub(super) fn destination(&self, id: RouteId) -> Option<DestinationId> {
        self.routes.borrow().get(&id).map(|route| route.destination)
    }

    /// Receiver and zone of a route; `None` if it is not listed.
    pub(super) fn receiver_location(&self, id: RouteId) -> Option<ReceiverLocation> {
        let routes = self.routes.borrow();
        let route = routes.get(&id)?;
        Some(ReceiverLocation { receiver: route.receiver.clone(), zone: route.zone.clone() })
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.routes.borrow().len()
    }
}
