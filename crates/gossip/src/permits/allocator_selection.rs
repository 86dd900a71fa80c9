//! Selects the sender that allocates the permits of a round among the candidates that are alive.

use std::collections::BTreeMap;

use crate::peer_selection::{PeerSample, RankedSender};

/// Number of rounds after which a candidate counts as down if no grant reported it as alive.
const LIVENESS_ROUNDS: u64 = 8;
/// In every round whose number is a multiple of this, all candidates are considered, so that senders discover each
/// other after a partition has healed.
const DISCOVERY_PERIOD: u64 = 4;

/// The allocator that one sender selected for a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SelectedAllocator {
    pub sender: usize,
    /// Whether a recent grant reported the allocator as alive. Permits are released only if it did.
    pub is_known_alive: bool,
}

/// The allocator candidates, a fixed sample of the fleet, and when each was last reported alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllocatorSelection {
    candidates: PeerSample,
    /// For each candidate that counts as alive, the last round in which an allocator received its offer.
    last_offer_rounds: BTreeMap<usize, u64>,
}

impl AllocatorSelection {
    /// A selection for a fleet of `sender_count` senders, none of which has been reported alive.
    pub fn new(sender_count: usize) -> Self {
        Self { candidates: PeerSample::new(sender_count), last_offer_rounds: BTreeMap::new() }
    }

    /// The bits of the candidates among `senders`.
    pub fn candidate_bits(&self, senders: impl IntoIterator<Item = usize>) -> u64 {
        self.candidates.bits(senders)
    }

    /// Records the candidates, as `bits`, whose offers an allocator received in a round.
    pub fn record_alive(&mut self, round: u64, bits: u64) {
        for sender in self.candidates.senders(bits) {
            let last_round = self.last_offer_rounds.entry(sender).or_default();
            *last_round = round.max(*last_round);
        }
    }

    /// The allocator of a round; `None` for an empty fleet.
    pub fn select(&mut self, round: u64) -> Option<SelectedAllocator> {
        self.last_offer_rounds
            .retain(|_, last_round| *last_round + LIVENESS_ROUNDS > round && *last_round <= round);
        let considers_all = self.considers_all(round);
        let members = self.candidates.members().iter().copied();
        let eligible = members.filter(|sender| considers_all || self.is_alive(*sender));
        let sender = eligible.min_by_key(|sender| RankedSender::new(round, *sender))?;
        Some(SelectedAllocator { sender, is_known_alive: self.is_alive(sender) })
    }

    /// Whether the allocator of a round is selected among all candidates instead of those that are alive: no candidate is
    /// known to be alive, or some are not and the round is one in which senders discover each other.
    fn considers_all(&self, round: u64) -> bool {
        let alive_count = self.last_offer_rounds.len();
        alive_count == 0
            || (alive_count < self.candidates.members().len() && round.is_multiple_of(DISCOVERY_PERIOD))
    }

    fn is_alive(&self, sender: usize) -> bool {
        self.last_offer_rounds.contains_key(&sender)
    }
}
