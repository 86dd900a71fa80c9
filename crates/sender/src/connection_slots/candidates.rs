//! The order in which connections are evicted when all slots are taken.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

use super::{ConnectionId, ConnectionSlots, NEW_CONNECTION_GRACE, Queue, QueueEntry};

/// Silent newcomers from one address.
struct SilentNewcomers {
    count: usize,
    longest_silent: QueueEntry,
}

impl ConnectionSlots {
    /// The connection to evict next, other than the `spared` ones; none if all others have a request open.
    pub(super) fn eviction_candidate(
        &self,
        now: Duration,
        request_arriving: &impl Fn(ConnectionId) -> bool,
        spared: &HashSet<ConnectionId>,
    ) -> Option<ConnectionId> {
        let silent = |entry: &&QueueEntry| !spared.contains(&entry.id) && !request_arriving(entry.id);
        let entry = self
            .closing
            .first()
            .copied()
            .or_else(|| self.longest_silent_newcomer(now, silent))
            .or_else(|| self.idle_after_first.iter().find(silent).copied())
            .or_else(|| self.idle_after_several.iter().find(silent).copied())
            .or_else(|| self.new.iter().find(silent).copied())
            // All others are receiving a request: the one that has taken longest.
            .or_else(|| self.longest_without_request(spared));
        entry.map(|entry| entry.id)
    }

    /// Of the newcomers silent for over [`NEW_CONNECTION_GRACE`], the longest silent one from the address that has
    /// most of them.
    fn longest_silent_newcomer(
        &self,
        now: Duration,
        silent: impl Fn(&&QueueEntry) -> bool,
    ) -> Option<QueueEntry> {
        let overdue =
            self.new.iter().take_while(|entry| now.saturating_sub(entry.since) > NEW_CONNECTION_GRACE);
        let mut by_address: HashMap<IpAddr, SilentNewcomers> = HashMap::new();
        for &entry in overdue.filter(silent) {
            let newcomers = by_address
                .entry(self.slots[&entry.id].address)
                .or_insert(SilentNewcomers { count: 0, longest_silent: entry });
            newcomers.count += 1;
        }
        by_address
            .into_values()
            .max_by_key(|newcomers| (newcomers.count, Reverse(newcomers.longest_silent)))
            .map(|newcomers| newcomers.longest_silent)
    }

    /// The connection without a complete request that has been in its state for longest.
    fn longest_without_request(&self, spared: &HashSet<ConnectionId>) -> Option<QueueEntry> {
        let first_of = |queue: &Queue| queue.iter().find(|entry| !spared.contains(&entry.id)).copied();
        [&self.new, &self.idle_after_first, &self.idle_after_several].into_iter().filter_map(first_of).min()
    }
}
