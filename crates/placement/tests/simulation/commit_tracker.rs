//! Determines the committed revisions, and the zones that they allow, from the stored records and the duration of a lease
//! alone, without the summaries and leases of the senders.
use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_placement::ZoneSet;

use super::LEASE_MS;

/// The revisions that majorities of the stored records have acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommitTracker {
    /// The senders that acknowledged each revision at some time in the current round.
    acknowledged_in_round: BTreeMap<u64, BTreeSet<usize>>,
    /// When the records of a majority first acknowledged each revision at the same time, in milliseconds.
    majority_since: BTreeMap<u64, u64>,
    /// The committed revisions: a majority has acknowledged each of them within one round, but not necessarily at the same
    /// time.
    ever_committed: BTreeSet<u64>,
}

impl CommitTracker {
    /// Must be called at the start of each round.
    pub fn begin_round(&mut self) {
        self.acknowledged_in_round.clear();
    }

    /// Updates the tracker with the revisions that each sender's stored record acknowledges, in the order of the senders.
    pub fn observe<'a>(
        &mut self,
        now_ms: u64,
        acknowledged: impl ExactSizeIterator<Item = &'a BTreeSet<u64>>,
    ) {
        let half = acknowledged.len() / 2;
        let mut acknowledgement_counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (sender, revisions) in acknowledged.enumerate() {
            for &revision in revisions {
                *acknowledgement_counts.entry(revision).or_default() += 1;
                self.acknowledged_in_round.entry(revision).or_default().insert(sender);
            }
        }
        for (&revision, _) in acknowledgement_counts.iter().filter(|&(_, &count)| count > half) {
            self.majority_since.entry(revision).or_insert(now_ms);
        }
        let committed_in_round =
            self.acknowledged_in_round.iter().filter(|(_, senders)| senders.len() > half);
        self.ever_committed.extend(committed_in_round.map(|(&revision, _)| revision));
    }

    /// The union of the zones of the committed revisions, without those that are superseded: a revision is superseded once
    /// a majority first acknowledged a higher one at least the duration of a lease ago.
    pub fn allowed_zones(&self, now_ms: u64, zones_of: impl Fn(u64) -> ZoneSet) -> ZoneSet {
        let committed_for_a_lease =
            self.majority_since.iter().filter(|&(_, &since)| now_ms >= since + LEASE_MS);
        let lowest_in_force = committed_for_a_lease.map(|(&revision, _)| revision).max().unwrap_or(0);
        let in_force = self.ever_committed.range(lowest_in_force..);
        ZoneSet(in_force.fold(0, |mask, &revision| mask | zones_of(revision).0))
    }
}
