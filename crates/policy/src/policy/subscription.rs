//! Decides when to subscribe to the endpoint list, and how long a route that it removed is remembered.

use super::Policy;
use crate::interface::{Action, Discovery, Listing, Millis};

/// Mean pause before subscribing again after a failure, ms.
const SUBSCRIBE_PAUSE: Millis = 1_000.0;
/// How long a removed route is remembered, ms: the list may only lag.
const REMOVED_ROUTE_TTL: Millis = 60_000.0;

impl Policy {
    /// Departure (the list comes on request only): subscribes at once, and again after each failure.
    pub(super) fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.subscribe_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
    }

    /// A subscription has failed: the next one comes after a pause.
    pub(super) fn subscribe_again(&mut self) {
        let pause = self.rng.pause(SUBSCRIBE_PAUSE);
        let on_request = matches!(self.settings.discovery, Discovery::OnRequest { .. });
        self.subscribe_at = on_request.then_some(self.now + pause);
    }

    /// Forgets routes that were removed long ago, and destinations without routes and messages.
    pub(super) fn forget_removed_routes(&mut self) {
        let now = self.now;
        for destination in self.destinations.values_mut() {
            for route in &mut destination.routes {
                let removed = route.listing == Listing::Gone;
                route.removed_at = removed.then(|| route.removed_at.unwrap_or(now));
            }
            destination.routes.retain(|route| {
                let listed_of_late = route.removed_at.is_none_or(|at| now - at <= REMOVED_ROUTE_TTL);
                route.calls_in_flight > 0 || listed_of_late
            });
        }
        self.destinations.retain(|_, destination| {
            let unused = destination.routes.is_empty() && destination.waiting.is_empty();
            !unused
        });
    }
}
