//! The order in which connections are evicted when all slots are taken.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

use super::{ConnectionId, ConnectionSlots, NEW_CONNECTION_GRACE, Queue, QueueEntry};

/// The connections from one address that have sent no complete request within [`NEW_CONNECTION_GRACE`].
struct ConnectionsPastGrace {
    count: usize,
    oldest: QueueEntry,
}

impl ConnectionSlots {
    /// The connection to evict next, other than the `excluded` ones; `None` if all others have a request open.
    pub(super) fn eviction_candidate(
        &self,
        now: Duration,
        request_arriving: &impl Fn(ConnectionId) -> bool,
        excluded: &HashSet<ConnectionId>,
    ) -> Option<ConnectionId> {
        let evictable = |entry: &&QueueEntry| !excluded.contains(&entry.id) && !request_arriving(entry.id);
        let entry = self
            .closing
            .first()
            .copied()
            .or_else(|| self.oldest_past_grace(now, evictable))
            .or_else(|| self.idle_after_first.iter().find(evictable).copied())
            .or_else(|| self.idle_after_several.iter().find(evictable).copied())
            .or_else(|| self.new.iter().find(evictable).copied())
            // A request is arriving on each remaining connection: evict the connection that has waited longest for it.
            .or_else(|| self.longest_without_request(excluded));
        entry.map(|entry| entry.id)
    }

    /// The oldest connection of the address with the most new connections that have sent no complete request for over
    /// [`NEW_CONNECTION_GRACE`].
    fn oldest_past_grace(
        &self,
        now: Duration,
        evictable: impl Fn(&&QueueEntry) -> bool,
    ) -> Option<QueueEntry> {
        let past_grace =
            self.new.iter().take_while(|entry| now.saturating_sub(entry.entered_at) > NEW_CONNECTION_GRACE);
        let mut by_address: HashMap<IpAddr, ConnectionsPastGrace> = HashMap::new();
        for &entry in past_grace.filter(evictable) {
            let connections = by_address
                .entry(self.slots[&entry.id].address)
                .or_insert(ConnectionsPastGrace { count: 0, oldest: entry });
            connections.count += 1;
        }
        by_address
            .into_values()
            .max_by_key(|connections| (connections.count, Reverse(connections.oldest)))
            .map(|connections| connections.oldest)
    }

    /// The connection without an open request that has been in its state longest.
    fn longest_without_request(&self, excluded: &HashSet<ConnectionId>) -> Option<QueueEntry> {
        let first_of = |queue: &Queue| queue.iter().find(|entry| !excluded.contains(&entry.id)).copied();
        [&self.new, &self.idle_after_first, &self.idle_after_several].into_iter().filter_map(first_of).min()
    }
}
