//! Permits to start calls: a hard bound on the call rate of a fleet at a limit, also if messages are lost.
//!
//! Invariant: each permit of a limit is used by at most one process, within
//! [`PERMIT_VALIDITY`](rounds::PERMIT_VALIDITY) of its start.
//!
//! A limit is issued as permits ([`PermitSchedule`](schedule::PermitSchedule)), each a lease whose owner is determined by the
//! wall clock. In each round a sender offers the permits of the round's term that it does not need to one sender, the
//! allocator, which grants them to senders that request some. Permits are released before the offer is sent, so a lost
//! message leaves permits unused and none is used twice. If the senders' clocks differ by at most `e`, at most
//! `0.95 * limit * (s + PERMIT_VALIDITY + 2 e) + 1` calls start in a span `s`; while the endpoint list changes, `limit` is
//! the larger one.

mod allocation;
mod allocator;
mod allocator_selection;
mod error;
#[cfg(test)]
mod exhaustive;
mod holding;
mod message;
mod offering;
mod rounds;
mod schedule;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use crate::outgoing_datagram::OutgoingDatagram;
use crate::peer_selection::hash_words;
use allocator::PermitAllocator;
use allocator_selection::AllocatorSelection;
pub use error::PermitError;
use holding::PermitHolding;
use message::{MAX_LIMITS, PermitGrant, PermitMessage};
use rounds::{
    CLOCK_STEP_TOLERANCE, MAX_MESSAGE_AGE_ROUNDS, OFFER_WINDOW, ROUND, round_at, round_start, term,
};

/// Permission to start one call: a lease with a fixed validity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Number of the permit, unique at its limit.
    pub number: u64,
    /// Start of its validity.
    pub from: UnixMillis,
    /// End of its validity (exclusive).
    pub until: UnixMillis,
}

/// The permits of one sender at all its limits. It is not persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitLedger {
    own_number: usize,
    senders: usize,
    incarnation: Incarnation,
    /// The round of the last offer.
    last_offer_round: u64,
    /// The latest wall clock time seen.
    latest_time: UnixMillis,
    /// The allocator of each round whose term is not over.
    allocators: BTreeMap<u64, usize>,
    holdings: BTreeMap<LimitId, PermitHolding>,
    allocator_selection: AllocatorSelection,
    /// This sender's role as an allocator.
    allocator: PermitAllocator,
}

impl PermitLedger {
    /// The ledger of sender `own_number` of `senders`, for a process with this incarnation that starts at `now`.
    /// An earlier process of the same sender must have ended by then.
    pub fn new(own_number: usize, senders: usize, incarnation: Incarnation, now: UnixMillis) -> Self {
        let round = round_at(now);
        Self {
            own_number,
            senders,
            incarnation,
            last_offer_round: round,
            latest_time: now,
            allocators: BTreeMap::new(),
            holdings: BTreeMap::new(),
            allocator_selection: AllocatorSelection::new(senders),
            allocator: PermitAllocator::new(round),
        }
    }

    /// When the next [`offer`](Self::offer) is due.
    pub fn next_offer(&self, now: UnixMillis) -> UnixMillis {
        let window = OFFER_WINDOW.end - OFFER_WINDOW.start;
        let offset = self.own_number as u64 * window / self.senders.max(1) as u64;
        let at = round_start(round_at(now)) + OFFER_WINDOW.start + offset;
        if at > now { at } else { at + ROUND }
    }

    /// When the next [`allocate`](Self::allocate) is due; `None` without offers.
    pub fn next_allocation(&self) -> Option<UnixMillis> {
        self.allocator.next_round().map(|round| round_start(round + 1))
    }

    /// Records the wall clock. If it was set back, the ledger is reset and starts in the latest round that was reached:
    /// messages about permits of earlier rounds may still arrive.
    fn observe_clock(&mut self, now: UnixMillis) {
        if now + CLOCK_STEP_TOLERANCE < self.latest_time {
            let round = round_at(now);
            let reached = self.last_offer_round.max(round_at(self.latest_time));
            let restart_round = if reached > round + MAX_MESSAGE_AGE_ROUNDS { round } else { reached };
            *self = Self::new(self.own_number, self.senders, self.incarnation, round_start(restart_round));
            self.latest_time = now;
        }
        self.latest_time = self.latest_time.max(now);
    }

    /// Handles a datagram of another sender. Returns whether the usable [`permits`](Self::permits) may have changed.
    ///
    /// # Errors
    ///
    /// [`PermitError`] is why it was dropped; the ledger is unchanged.
    pub fn receive(&mut self, now: UnixMillis, from: usize, datagram: &[u8]) -> Result<bool, PermitError> {
        self.observe_clock(now);
        if from == self.own_number || from >= self.senders {
            return Err(PermitError::UnknownSender);
        }
        match PermitMessage::decode(datagram)? {
            PermitMessage::PermitOffer(offer) => {
                let is_counted = self.allocator.add_offer(round_at(now), from, offer);
                if is_counted { Ok(false) } else { Err(PermitError::Round) }
            }
            PermitMessage::PermitGrant(grant) => {
                let is_answer = self.allocators.get(&grant.round) == Some(&from);
                if !is_answer || grant.incarnation != self.incarnation {
                    return Err(PermitError::Round);
                }
                self.apply_grant(&grant);
                Ok(true)
            }
        }
    }

    fn apply_grant(&mut self, grant: &PermitGrant) {
        self.allocator_selection.record_alive(grant.round, grant.candidates_alive);
        for entry in grant.entries.iter().take(MAX_LIMITS) {
            let holding = self.holdings.get_mut(&LimitId(entry.limit_id));
            if let Some(holding) =
                holding.filter(|holding| holding.schedule.checksum() == entry.schedule_checksum)
            {
                holding.add_granted(grant.round, entry);
            }
        }
    }

    /// Grants the permits that were offered to this sender in past rounds.
    pub fn allocate(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        self.observe_clock(now);
        let grants = self.allocator.allocate(
            round_at(now),
            |senders| self.allocator_selection.candidate_bits(senders.iter().copied()),
            |limit_id| self.holdings.get(&limit_id).map(|holding| holding.schedule),
        );
        let mut datagrams = Vec::new();
        for addressed in grants {
            if addressed.to == self.own_number {
                self.apply_grant(&addressed.grant);
            } else if let Ok(bytes) = PermitMessage::PermitGrant(addressed.grant).encode() {
                datagrams.push(OutgoingDatagram { to: addressed.to, bytes });
            }
        }
        datagrams
    }

    /// The permits of a limit that this sender may still use, ordered by number.
    ///
    /// `available_fraction` is the estimated fraction of the limit that the destination accepts, from 0 to 1; the remaining
    /// permits are left out, the same ones at every sender.
    pub fn permits(&self, now: UnixMillis, limit_id: LimitId, available_fraction: f64) -> Vec<Permit> {
        // Records of released permits expire, so a clock that was set back could make them usable again.
        let is_clock_set_back = now + CLOCK_STEP_TOLERANCE < self.latest_time;
        let Some(holding) = self.holdings.get(&limit_id).filter(|_| !is_clock_set_back) else {
            return Vec::new();
        };
        let mut permits = holding.usable(self.own_number, now, term(self.last_offer_round).end);
        permits.retain(|permit| is_available(permit.number, limit_id, available_fraction));
        permits
    }
}

/// Whether a permit is in the given fraction of a limit's permits, by a hash that is the same at every sender.
fn is_available(number: u64, limit_id: LimitId, fraction: f64) -> bool {
    let draw = hash_words([number, u64::from(limit_id.0)]);
    fraction >= 1.0 || f64::from(draw) < fraction * f64::from(u32::MAX)
}
