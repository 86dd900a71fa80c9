//! Figures for the host: demand, routes out of rotation, and how much is remembered. No decision.

use rudderspindle_gossip::CapacityShare;

use super::Policy;
use super::scope::Scope;
use super::state::Destination;
use crate::interface::{Demand, DestinationId, LimitScope, Listing};

impl Policy {
    /// The demand of each limit, with the calls made so far.
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (&id, destination) in &self.destinations {
            for scope in destination.throttle_scopes() {
                if is_ready(destination, scope) {
                    demands.push(self.demand_of(id, destination, scope));
                }
            }
        }
        demands
    }

    fn demand_of(&self, id: DestinationId, destination: &Destination, scope: Scope) -> Demand {
        let demand = destination.demand(scope, self.now);
        let CapacityShare { calls: called, rejected, failed, .. } = destination.throttle_of(scope).capacity;
        let scope = LimitScope { destination: id, route: destination.route_of(scope) };
        Demand { scope, limit: demand.limit, calls_wanted: demand.wanted, called, rejected, failed }
    }

    /// Number of routes, destinations, messages and ordering keys that are remembered.
    pub fn remembered(&self) -> usize {
        let routes =
            self.destinations.values().map(|destination| 1 + destination.routes.len()).sum::<usize>();
        routes + self.messages.len() + self.key_ordering.len()
    }

    /// Number of messages that it can admit before it sheds any.
    pub fn free_capacity(&self) -> usize {
        self.shed_threshold().saturating_sub(self.messages.len())
    }

    /// Number of listed routes that take no ordinary calls now: draining, down, or within a Retry-After.
    pub fn routes_out_of_rotation(&self) -> usize {
        let out_of_rotation = |destination: &Destination| {
            (0..destination.routes.len()).filter(|&index| self.is_out_of_rotation(destination, index)).count()
        };
        self.destinations.values().map(out_of_rotation).sum()
    }

    fn is_out_of_rotation(&self, destination: &Destination, index: usize) -> bool {
        match destination.routes[index].listing {
            Listing::Ready => {
                destination.is_down(index) || destination.throttle(index).retry_after_until > self.now
            }
            Listing::Draining => true,
            Listing::Gone => false,
        }
    }
}

fn is_ready(destination: &Destination, scope: Scope) -> bool {
    match scope {
        Scope::Route(index) => destination.routes[index].listing == Listing::Ready,
        Scope::All => true,
    }
}
