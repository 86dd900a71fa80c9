//! Determines the committed revisions from the stored records alone, independently of summaries and leases.
use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_placement::ZoneSet;

use super::LEASE_MS;

/// The acknowledgements seen in the stored records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Checker {
    /// The senders that acknowledged each revision at some time in the current round.
    acknowledged_in_round: BTreeMap<u64, BTreeSet<usize>>,
    /// When a majority first acknowledged each revision simultaneously, in milliseconds.
    majority_since: BTreeMap<u64, u64>,
    /// The revisions that a majority has acknowledged within one round.
    ever_committed: BTreeSet<u64>,
}

impl Checker {
    /// Must be called at the start of each round.
    pub fn begin_round(&mut self) {
        self.acknowledged_in_round.clear();
    }

    /// Updates the checker with the revisions that each sender's stored record acknowledges, in the order of the senders.
    pub fn observe<'a>(
        &mut self,
        now_ms: u64,
        acknowledged: impl ExactSizeIterator<Item = &'a BTreeSet<u64>>,
    ) {
        let half = acknowledged.len() / 2;
        let mut acknowledging: BTreeMap<u64, usize> = BTreeMap::new();
        for (index, revisions) in acknowledged.enumerate() {
            for &revision in revisions {
                *acknowledging.entry(revision).or_default() += 1;
                self.acknowledged_in_round.entry(revision).or_default().insert(index);
            }
        }
        for (&revision, _) in acknowledging.iter().filter(|&(_, &count)| count > half) {
            self.majority_since.entry(revision).or_insert(now_ms);
        }
        let in_round = self.acknowledged_in_round.iter().filter(|(_, senders)| senders.len() > half);
        self.ever_committed.extend(in_round.map(|(&revision, _)| revision));
    }

    /// The zones that at least one revision allows which a majority has acknowledged and which is not lower than a revision
    /// that has been committed for the duration of a lease.
    pub fn allowed_zones(&self, now_ms: u64, zones_of: impl Fn(u64) -> ZoneSet) -> ZoneSet {
        let expired = self.majority_since.iter().filter(|&(_, &since)| now_ms >= since + LEASE_MS);
        let lowest = expired.map(|(&revision, _)| revision).max().unwrap_or(0);
        let recent = self.ever_committed.range(lowest..);
        ZoneSet(recent.fold(0, |mask, &revision| mask | zones_of(revision).0))
    }
}
