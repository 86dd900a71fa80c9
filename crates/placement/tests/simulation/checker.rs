//! The checker: determines the committed revisions from the stored records alone.
use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_placement::ZoneSet;

use super::LEASE_MS;

/// The acknowledgements in the stored records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Checker {
    /// The senders that acknowledged each revision at some time in this round.
    acknowledged_in_round: BTreeMap<u64, BTreeSet<usize>>,
    /// Since when a majority acknowledges each revision simultaneously, in milliseconds.
    majority_since: BTreeMap<u64, u64>,
    /// Revisions that a majority acknowledged within one round.
    ever_committed: BTreeSet<u64>,
}

impl Checker {
    /// Clears the acknowledgements of the previous round.
    pub fn begin_round(&mut self) {
        self.acknowledged_in_round.clear();
    }

    /// Records the revisions that each sender's stored record acknowledges.
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

    /// The zones that recently committed revisions allow: all revisions that a majority has acknowledged, except those below
    /// one that has been committed for a lease.
    pub fn allowed_zones(&self, now_ms: u64, zones_of: impl Fn(u64) -> ZoneSet) -> ZoneSet {
        let expired = self.majority_since.iter().filter(|&(_, &since)| now_ms >= since + LEASE_MS);
        let lowest = expired.map(|(&revision, _)| revision).max().unwrap_or(0);
        let recent = self.ever_committed.range(lowest..);
        ZoneSet(recent.fold(0, |mask, &revision| mask | zones_of(revision).0))
    }
}
