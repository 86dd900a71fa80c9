//! Metrics for the host: demand, routes out of rotation, and how much state is kept.

use super::Policy;
use crate::interface::Demand;

impl Policy {
    /// The demand of each limit, with the calls made so far.
    pub fn demands(&self) -> Vec<Demand> {
        let now = self.context.now;
        self.destinations.iter().flat_map(|destination| destination.demands(now)).collect()
    }

    /// Number of routes, destinations, messages and ordering keys that are kept.
    pub fn remembered(&self) -> usize {
        let routes = self.destinations.iter().map(|destination| 1 + destination.route_count()).sum::<usize>();
        routes + self.messages.len() + self.messages.ordering_keys()
    }

    /// Number of messages that can be accepted before load is shed.
    pub fn free_capacity(&self) -> usize {
        self.shed_threshold().saturating_sub(self.messages.len())
    }

    /// Number of listed routes that take no ordinary calls now: draining, down, or within a Retry-After.
    pub fn routes_out_of_rotation(&self) -> usize {
        let now = self.context.now;
        self.destinations.iter().map(|destination| destination.routes_out_of_rotation(now)).sum()
    }
}
