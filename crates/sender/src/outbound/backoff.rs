//! Routes, and until when nothing may be sent to them.

use super::*;

/// A receiver as the list tells of it.
#[derive(Debug)]
pub struct Route {
    pub addr: Option<SocketAddr>,
    pub receiver: Rc<str>,
    pub zone: Rc<str>,
    pub destination: DestinationId,
    /// Whether it has waits of its own, apart from its destination's.
    pub apart: bool,
    pub listing: Listing,
}

/// What a told wait holds for: a route that is apart, or else a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Waits {
    Route(RouteId),
    Destination(DestinationId),
}

impl Route {
    pub(super) fn waits(&self, id: RouteId) -> Waits {
        if self.apart { Waits::Route(id) } else { Waits::Destination(self.destination) }
    }
}

impl Outbound {
    /// Whether the route takes calls at this moment.
    pub(super) fn may_send(&self, id: RouteId) -> bool {
        let routes = self.routes.borrow();
        let Some(route) = routes.get(&id).filter(|r| r.listing == Listing::Ready) else { return false };
        self.waits.borrow().get(&route.waits(id)).is_none_or(|&until| until <= Instant::now())
    }

    /// The other process of this sender was told to wait.
    pub fn heed(&self, destination: DestinationId, route: Option<RouteId>, wait: Millis) {
        let waits = route.map_or(Waits::Destination(destination), Waits::Route);
        self.wait(waits, wait.clamp(0.0, LONGEST_WAIT));
    }

    /// Every wait that is not over, as one process tells it the other.
    pub fn waits(&self) -> Vec<HandoverMessage> {
        let now = Instant::now();
        let left = |until: Instant| until.saturating_duration_since(now).as_secs_f64() * 1_000.0;
        self.waits.borrow().iter().map(|(waits, until)| self.word(*waits, left(*until))).collect()
    }

    pub(super) fn word(&self, waits: Waits, ms: Millis) -> HandoverMessage {
        match waits {
            Waits::Destination(DestinationId(destination)) => {
                HandoverMessage::RetryAfter { destination, receiver: None, ms }
            }
            Waits::Route(route) => {
                let routes = self.routes.borrow();
                let route = routes.get(&route);
                let destination = route.map_or(0, |r| r.destination.0);
                HandoverMessage::RetryAfter {
                    destination,
                    receiver: Some(route.map_or("", |r| &*r.receiver).to_owned()),
                    ms,
                }
            }
        }
    }

    /// Also for a route that has left the list since: its destination has others.
    pub(super) fn wait(&self, waits: Waits, wait: Millis) {
        let until = Instant::now() + Duration::from_secs_f64(wait / 1_000.0);
        let mut all = self.waits.borrow_mut();
        let at = all.entry(waits).or_insert(until);
        *at = (*at).max(until);
    }
}
