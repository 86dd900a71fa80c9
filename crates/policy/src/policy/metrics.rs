//! Metrics for the host: demand, routes out of rotation, and the number of state entries.

use super::Policy;
use crate::interface::Demand;

impl Policy {
    /// The demand at each limit, and the numbers of calls within that limit since the start.
    pub fn demands(&self) -> Vec<Demand> {
        let now = self.context.now;
        self.destinations.iter().flat_map(|destination| destination.demands(now)).collect()
    }

    /// Number of routes, destinations, pending messages and ordering keys in memory.
    pub fn state_entry_count(&self) -> usize {
        let routes = self.destinations.iter().map(|destination| 1 + destination.route_count()).sum::<usize>();
        routes + self.messages.len() + self.messages.ordering_keys()
    }

    /// Number of messages that can be accepted before load is shed.
    pub fn free_capacity(&self) -> usize {
        self.shed_threshold().saturating_sub(self.messages.len())
    }

    /// Number of listed routes that accept no calls other than probes now, because they are draining, in an
    /// outage, or within a Retry-After.
    pub fn routes_out_of_rotation(&self) -> usize {
        let now = self.context.now;
        self.destinations.iter().map(|destination| destination.routes_out_of_rotation(now)).sum()
    }
}
