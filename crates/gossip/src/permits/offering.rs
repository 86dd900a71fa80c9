//! Prepares the offer that a sender sends once in each round: it releases the sender's permits that are not needed, or
//! requests additional permits.

use std::cmp::Reverse;

use rudderspindle_clock::UnixMillis;

use super::PermitLedger;
use super::holding::PermitHolding;
use super::message::{MAX_LIMITS, MAX_REQUESTED_PERMITS, PermitMessage, PermitOffer, PermitOfferEntry};
use super::rounds::{round_at, term};
use super::schedule::PermitSchedule;
use crate::demand_exchange::LocalDemand;
use crate::limit_id::LimitId;
use crate::outgoing_datagram::OutgoingDatagram;

/// The round and the times for which an offer is prepared.
struct OfferContext {
    round: u64,
    now: UnixMillis,
    /// End of the term of the previous offer's round. The offers and grants of earlier rounds determine which permits the
    /// sender has before this time.
    determined_until: UnixMillis,
    /// Whether permits may be released, which requires that the allocator is known to be alive.
    may_release: bool,
}

impl PermitLedger {
    /// Prepares this sender's offer, once a round. Later calls in the same round only update the set of limits.
    ///
    /// Returns `None` if no datagram is to be sent, for instance because this sender is the round's allocator.
    pub fn offer(&mut self, now: UnixMillis, demands: &[LocalDemand]) -> Option<OutgoingDatagram> {
        self.observe_clock(now);
        let round = round_at(now);
        self.refresh_holdings(now, demands);
        self.allocators.retain(|round, _| term(*round).end > now);
        if round <= self.last_offer_round {
            return None;
        }
        let determined_until = term(self.last_offer_round).end;
        self.last_offer_round = round;
        let selected = self.allocator_selection.select(round)?;
        self.allocators.insert(round, selected.sender);
        let context = OfferContext { round, now, determined_until, may_release: selected.is_known_alive };
        let entries = self.offer_entries(&context, demands);
        self.release(round, &entries);
        self.dispatch_offer(selected.sender, PermitOffer { round, incarnation: self.incarnation, entries })
    }

    /// Adds a holding for each new limit in `demands`, replaces it if the limit has changed, and removes the holdings
    /// of all other limits.
    fn refresh_holdings(&mut self, now: UnixMillis, demands: &[LocalDemand]) {
        // After the clock was set back, a new holding does not record which permits were released before.
        let first_round = round_at(now).max(self.last_offer_round);
        self.holdings.retain(|limit_id, _| demands.iter().any(|demand| demand.limit_id == *limit_id));
        for demand in demands {
            let schedule = PermitSchedule::new(demand.limit_id, demand.limit, self.sender_count);
            let holding = self
                .holdings
                .entry(demand.limit_id)
                .or_insert_with(|| PermitHolding::new(schedule, first_round));
            if holding.schedule != schedule {
                *holding = PermitHolding::new(schedule, first_round);
            }
            holding.remove_expired(now);
        }
    }

    /// The entries of the offer, at most [`MAX_LIMITS`]: first those with the most requested permits, then those with
    /// the most released ones.
    fn offer_entries(&self, context: &OfferContext, demands: &[LocalDemand]) -> Vec<PermitOfferEntry> {
        let mut entries: Vec<PermitOfferEntry> =
            demands.iter().filter_map(|demand| self.offer_entry(context, demand)).collect();
        entries.sort_by_key(|entry| (Reverse((entry.requested, entry.released)), entry.limit_id));
        entries.truncate(MAX_LIMITS);
        entries
    }

    /// The entry for a limit; `None` if no permits are released or requested.
    fn offer_entry(&self, context: &OfferContext, demand: &LocalDemand) -> Option<PermitOfferEntry> {
        let holding = self.holdings.get(&demand.limit_id)?;
        let available_count =
            holding.unexpired_permits(self.own_number, context.now, context.determined_until).len();
        let needed_count = (demand.demand - available_count as f64).round().max(0.0) as usize;
        let own_count = holding.own_count(self.own_number, context.round);
        let released = if context.may_release { own_count.saturating_sub(needed_count) } else { 0 };
        let requested = needed_count.saturating_sub(own_count).min(usize::from(MAX_REQUESTED_PERMITS));
        let entry = PermitOfferEntry {
            limit_id: demand.limit_id.0,
            schedule_checksum: holding.schedule.checksum(),
            released: u16::try_from(released).unwrap_or(u16::MAX),
            requested: requested as u8,
        };
        (entry.released > 0 || entry.requested > 0).then_some(entry)
    }

    /// Releases the permits that the entries offer. This is done before the offer is sent, so that no permit is used
    /// twice.
    fn release(&mut self, round: u64, entries: &[PermitOfferEntry]) {
        for entry in entries.iter().filter(|entry| entry.released > 0) {
            if let Some(holding) = self.holdings.get_mut(&LimitId(entry.limit_id)) {
                let own_count = holding.own_count(self.own_number, round);
                holding.retain_first(round, own_count - usize::from(entry.released));
            }
        }
    }

    /// Adds the offer to this sender's own allocator, or addresses it to another sender. If it cannot be encoded, the
    /// released permits stay unused in this term.
    fn dispatch_offer(&mut self, allocator: usize, offer: PermitOffer) -> Option<OutgoingDatagram> {
        if allocator == self.own_number {
            self.allocator.add_offer(offer.round, self.own_number, offer);
            return None;
        }
        let bytes = PermitMessage::PermitOffer(offer).encode().ok()?;
        Some(OutgoingDatagram { to: allocator, bytes })
    }
}
