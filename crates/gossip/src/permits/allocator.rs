//! Collects the offers of a round and grants the released permits to the senders that request them.
//!
//! Invariant: a permit is granted to at most one sender, and only if its owner released it in the same round.

use std::collections::BTreeMap;

use super::allocation::{SenderOffer, allocate_limit};
use super::message::{MAX_LIMITS, PermitGrant, PermitGrantEntry, PermitMessage, PermitOffer};
use super::schedule::PermitSchedule;
use crate::limit_id::LimitId;

/// The first offer of each sender in one round.
type Offers = BTreeMap<usize, PermitOffer>;

/// A grant and its recipient.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AddressedGrant {
    pub to: usize,
    pub grant: PermitGrant,
}

/// One sender in its role as the allocator of some rounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitAllocator {
    /// Rounds up to this one are closed because they were allocated, possibly by an earlier process.
    closed_round: u64,
    /// The offers of each round that is not closed. Because clocks differ, this includes offers of the next round.
    open_rounds: BTreeMap<u64, Offers>,
}

impl PermitAllocator {
    /// An allocator that starts in `round` and accepts no offers of it, because an earlier process may have allocated
    /// it.
    pub fn new(round: u64) -> Self {
        Self { closed_round: round, open_rounds: BTreeMap::new() }
    }

    /// Adds a sender's offer. Returns whether it was accepted: it must be of the current or the next round, which must
    /// be open, and the sender's first offer of that round.
    pub fn add_offer(&mut self, current_round: u64, from: usize, offer: PermitOffer) -> bool {
        let round = offer.round;
        let is_open = round > self.closed_round && (current_round..=current_round + 1).contains(&round);
        if !is_open || offer.entries.len() > MAX_LIMITS {
            return false;
        }
        let offers = self.open_rounds.entry(round).or_default();
        let is_first = !offers.contains_key(&from);
        if is_first {
            offers.insert(from, offer);
        }
        is_first
    }

    /// The earliest round for which offers are stored. It is allocated when it is over; `None` if there are no offers.
    pub fn next_round(&self) -> Option<u64> {
        self.open_rounds.keys().next().copied()
    }

    /// Closes the rounds before `current_round`. Returns a grant for each sender that sent an offer in one of these
    /// rounds.
    ///
    /// `candidate_bits` returns the bits of the allocator candidates among the given senders. `schedule_of` returns the
    /// schedule of a limit, or `None` if this sender does not have the limit.
    pub fn allocate(
        &mut self,
        current_round: u64,
        candidate_bits: impl Fn(&[usize]) -> u64,
        schedule_of: impl Fn(LimitId) -> Option<PermitSchedule>,
    ) -> Vec<AddressedGrant> {
        let mut grants = Vec::new();
        while let Some(entry) = self.open_rounds.first_entry().filter(|entry| *entry.key() < current_round) {
            let (round, offers) = entry.remove_entry();
            // No round may be allocated twice, even if the clock is set back.
            self.closed_round = self.closed_round.max(round);
            let offering_senders: Vec<usize> = offers.keys().copied().collect();
            grants.extend(grants_of_round(round, offers, candidate_bits(&offering_senders), &schedule_of));
        }
        grants
    }

    /// Number of stored offers. Tests check that it is bounded.
    #[cfg(test)]
    pub fn offer_count(&self) -> usize {
        self.open_rounds.values().map(BTreeMap::len).sum()
    }
}

/// Returns one grant for each sender that sent an offer in the round, even if the grant contains no permits.
fn grants_of_round(
    round: u64,
    offers: Offers,
    candidates_alive: u64,
    schedule_of: impl Fn(LimitId) -> Option<PermitSchedule>,
) -> Vec<AddressedGrant> {
    let mut entries_by_sender: BTreeMap<usize, Vec<PermitGrantEntry>> = BTreeMap::new();
    for (limit_id, limit_offers) in offers_by_limit(&offers) {
        let Some(schedule) = schedule_of(limit_id) else { continue };
        for grant in allocate_limit(round, limit_id, &schedule, &limit_offers) {
            entries_by_sender.entry(grant.sender).or_default().push(grant.entry);
        }
    }
    let mut grants = Vec::new();
    for (to, offer) in offers {
        let entries = entries_by_sender.remove(&to).unwrap_or_default();
        let grant = PermitGrant { round, incarnation: offer.incarnation, candidates_alive, entries };
        grants.push(AddressedGrant { to, grant: truncated_to_fit(grant) });
    }
    grants
}

/// The offers at each limit. If a sender repeats a limit in its offer, only the first entry for the limit counts.
fn offers_by_limit(offers: &Offers) -> BTreeMap<LimitId, Vec<SenderOffer>> {
    let mut limits: BTreeMap<LimitId, Vec<SenderOffer>> = BTreeMap::new();
    for (&sender, offer) in offers {
        for &entry in &offer.entries {
            let limit_offers = limits.entry(LimitId(entry.limit_id)).or_default();
            let is_repeated = limit_offers.last().is_some_and(|last| last.sender == sender);
            if !is_repeated {
                limit_offers.push(SenderOffer { sender, entry });
            }
        }
    }
    limits
}

/// Shortens a grant until it fits into a datagram. The omitted permits stay unused in the round's term.
fn truncated_to_fit(mut grant: PermitGrant) -> PermitGrant {
    while PermitMessage::PermitGrant(grant.clone()).encode().is_err() {
        let longest = grant.entries.iter_mut().max_by_key(|entry| entry.number_deltas.len());
        match longest {
            Some(entry) if entry.number_deltas.len() > 1 => {
                entry.number_deltas.truncate(entry.number_deltas.len() / 2);
            }
            _ => {
                grant.entries.pop();
            }
        }
    }
    grant
}
