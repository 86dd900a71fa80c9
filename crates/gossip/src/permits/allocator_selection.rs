//! Chooses the sender that allocates permits in a round, among those that are known to be alive.

use std::collections::BTreeMap;

use crate::peer_selection::{PeerSample, rank_in_round};

/// Rounds after which a candidate that nobody has reported counts as gone.
const LIVENESS_ROUNDS: u64 = 8;
/// In every round divisible by this, candidates that are not known to be alive are considered too, so that partitions
/// that have healed find one another.
const DISCOVERY_PERIOD: u64 = 4;

/// The allocator of a round, as far as one sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SelectedAllocator {
    pub sender: usize,
    /// Whether it was reported lately: permits are released to no other.
    pub is_known_alive: bool,
}

/// The senders that may allocate permits, a fixed sample of the fleet, and when each was last reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllocatorSelection {
    candidates: PeerSample,
    /// The last round in which an allocator reported an offer of this candidate.
    last_reported: BTreeMap<usize, u64>,
}

impl AllocatorSelection {
    /// A selection for a fleet of that many senders, of which none is known to be alive.
    pub fn new(senders: usize) -> Self {
        Self { candidates: PeerSample::new(senders), last_reported: BTreeMap::new() }
    }

    /// The bits of the candidates among these senders.
    pub fn candidate_bits(&self, senders: impl IntoIterator<Item = usize>) -> u64 {
        self.candidates.bits(senders)
    }

    /// Takes in which candidates sent offers in a round.
    pub fn record_alive(&mut self, round: u64, bits: u64) {
        for sender in self.candidates.senders(bits) {
            let last = self.last_reported.entry(sender).or_default();
            *last = round.max(*last);
        }
    }

    /// The allocator of a round; `None` only for an empty fleet.
    pub fn select(&mut self, round: u64) -> Option<SelectedAllocator> {
        self.last_reported.retain(|_, last| *last + LIVENESS_ROUNDS > round && *last <= round);
        let considers_all = self.considers_all(round);
        let members = self.candidates.members().iter().copied();
        let eligible = members.filter(|sender| considers_all || self.is_alive(*sender));
        let sender = eligible.min_by_key(|sender| rank_in_round(round, *sender))?;
        Some(SelectedAllocator { sender, is_known_alive: self.is_alive(sender) })
    }

    fn considers_all(&self, round: u64) -> bool {
        let alive = self.last_reported.len();
        alive == 0 || (alive < self.candidates.members().len() && round.is_multiple_of(DISCOVERY_PERIOD))
    }

    fn is_alive(&self, sender: usize) -> bool {
        self.last_reported.contains_key(&sender)
    }
}
