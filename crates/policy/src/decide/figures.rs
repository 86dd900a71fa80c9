//! What a host may read: what is wanted and was done, and how much is remembered. No decision.

use super::ends::SHED_AT;
use super::*;

impl Sender {
    /// What is wanted of each limit, and what was done to it so far.
    pub fn demands(&self) -> Vec<Demand> {
        let of = |(&destination, d): (&DestinationId, &Destination)| {
            let listed = |scope: &Scope| match scope {
                Scope::Route(index) => d.routes[*index].listing == Listing::Ready,
                Scope::All => true,
            };
            let demands = d.throttles().filter(listed).map(|scope| {
                let ((wanted, limit), room) = (d.need(scope, self.now), &d.throttle_of(scope).room);
                let CapacityShare { calls: called, rejected: refused, failed, .. } = *room;
                Demand { destination, route: d.name(scope), limit, wanted, called, refused, failed }
            });
            demands.collect::<Vec<_>>()
        };
        self.destinations.iter().flat_map(of).collect()
    }

    /// Routes, destinations, messages and keys that are remembered.
    pub fn remembered(&self) -> usize {
        let routes = self.destinations.values().map(|d| 1 + d.routes.len()).sum::<usize>();
        routes + self.messages.len() + self.turns.len()
    }

    /// Messages that it can take in before it gives up any that it has.
    pub fn room(&self) -> usize {
        self.most_unshed().saturating_sub(self.messages.len())
    }

    pub(super) fn most_unshed(&self) -> usize {
        (self.settings.max_pending as f64 * SHED_AT) as usize
    }

    /// Routes on the list that take no ordinary calls of ours now: they drain, are down, or told to wait.
    pub fn avoided(&self) -> usize {
        let avoided = |d: &Destination, r: usize| match d.routes[r].listing {
            Listing::Ready => d.down(r) || d.throttle(r).wait_until > self.now,
            listing => listing == Listing::Draining,
        };
        self.destinations.values().map(|d| (0..d.routes.len()).filter(|&r| avoided(d, r)).count()).sum()
    }
}
