//! Permits to start calls: a hard bound on the call rate of a fleet at a limit, even if messages are lost.
//!
//! Invariant: each permit of a limit is used by at most one process, within
//! [`PERMIT_VALIDITY`](rounds::PERMIT_VALIDITY) of its start.
//!
//! A limit is divided into permits ([`PermitSchedule`](schedule::PermitSchedule)). Each permit is a lease for
//! one call; its number determines which sender owns it and when it starts on the wall clock. In each round every sender
//! offers the permits of the round's term that it does not need to the round's allocator, which is one of the senders.
//! The allocator grants them to senders that request permits. Permits are released before the offer is sent, so if a
//! message is lost, permits stay unused and none is used twice.
//!
//! If the senders' clocks differ by at most `e`, at most `0.95 * limit * (s + PERMIT_VALIDITY + 2 e) + 1` calls start in
//! a time span of length `s`, with the limit in calls a second and all times in seconds. While the endpoint list changes,
//! `limit` is the larger of the limits before and after the change.

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
    /// Start of the permit's validity.
    pub from: UnixMillis,
    /// End of the permit's validity (exclusive).
    pub until: UnixMillis,
}

/// The permits of one sender at all its limits, and its role as the allocator of some rounds. The ledger is not
/// persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitLedger {
    own_number: usize,
    sender_count: usize,
    incarnation: Incarnation,
    /// The round of the last offer.
    last_offer_round: u64,
    /// The latest wall clock time that was passed in.
    latest_time: UnixMillis,
    /// The allocator to which the offer of each round was sent, until the round's term ends.
    allocators: BTreeMap<u64, usize>,
    holdings: BTreeMap<LimitId, PermitHolding>,
    allocator_selection: AllocatorSelection,
    /// This sender's role as an allocator.
    allocator: PermitAllocator,
}

impl PermitLedger {
    /// The ledger of sender `own_number` in a fleet of `sender_count`, for a process with this incarnation that starts
    /// at `now`. Any earlier process of the same sender must have ended by then.
    pub fn new(own_number: usize, sender_count: usize, incarnation: Incarnation, now: UnixMillis) -> Self {
        let round = round_at(now);
        Self {
            own_number,
            sender_count,
            incarnation,
            last_offer_round: round,
            latest_time: now,
            allocators: BTreeMap::new(),
            holdings: BTreeMap::new(),
            allocator_selection: AllocatorSelection::new(sender_count),
            allocator: PermitAllocator::new(round),
        }
    }

    /// When the next [`offer`](Self::offer) is due.
    pub fn next_offer(&self, now: UnixMillis) -> UnixMillis {
        let window = OFFER_WINDOW.end - OFFER_WINDOW.start;
        let offset = self.own_number as u64 * window / self.sender_count.max(1) as u64;
        let offer_at = round_start(round_at(now)) + OFFER_WINDOW.start + offset;
        if offer_at > now { offer_at } else { offer_at + ROUND }
    }

    /// When the next [`allocate`](Self::allocate) is due; `None` if no received offer waits for an allocation.
    pub fn next_allocation(&self) -> Option<UnixMillis> {
        self.allocator.next_round().map(|round| round_start(round + 1))
    }

    /// Records the wall clock. If the clock was set back, the ledger is reset. It restarts in the latest round that it had
    /// reached, because messages about permits of earlier rounds may still be received. If that round is more than
    /// [`MAX_MESSAGE_AGE_ROUNDS`] ahead of the clock, the ledger restarts in the clock's current round.
    fn observe_clock(&mut self, now: UnixMillis) {
        if now + CLOCK_STEP_TOLERANCE < self.latest_time {
            let round = round_at(now);
            let latest_round = self.last_offer_round.max(round_at(self.latest_time));
            let restart_round =
                if latest_round > round + MAX_MESSAGE_AGE_ROUNDS { round } else { latest_round };
            *self =
                Self::new(self.own_number, self.sender_count, self.incarnation, round_start(restart_round));
            self.latest_time = now;
        }
        self.latest_time = self.latest_time.max(now);
    }

    /// Handles a datagram received from sender number `from`. Returns whether the [`permits`](Self::permits) may have
    /// changed.
    ///
    /// # Errors
    ///
    /// [`PermitError`] if the datagram was dropped; its content has no effect then.
    pub fn receive(&mut self, now: UnixMillis, from: usize, datagram: &[u8]) -> Result<bool, PermitError> {
        self.observe_clock(now);
        if from == self.own_number || from >= self.sender_count {
            return Err(PermitError::UnknownSender);
        }
        match PermitMessage::decode(datagram)? {
            PermitMessage::PermitOffer(offer) => {
                let is_accepted = self.allocator.add_offer(round_at(now), from, offer);
                if is_accepted { Ok(false) } else { Err(PermitError::Unexpected) }
            }
            PermitMessage::PermitGrant(grant) => {
                let is_from_allocator = self.allocators.get(&grant.round) == Some(&from);
                if !is_from_allocator || grant.incarnation != self.incarnation {
                    return Err(PermitError::Unexpected);
                }
                self.apply_grant(&grant);
                Ok(true)
            }
        }
    }

    /// Adds the granted permits of each limit whose schedule is the same at the allocator and here.
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

    /// Grants the permits that were offered to this sender in past rounds. Returns the grants to be sent.
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

    /// The permits of a limit that have not expired and that this sender may use, ordered by number.
    ///
    /// `available_fraction` is the estimated fraction of the limit that the destination accepts, from 0 to 1. Only this
    /// fraction of the permits is returned; all senders select the same permits.
    pub fn permits(&self, now: UnixMillis, limit_id: LimitId, available_fraction: f64) -> Vec<Permit> {
        // The ledger forgets released permits when they expire, so a clock that was set back could make them valid
        // again.
        let is_clock_set_back = now + CLOCK_STEP_TOLERANCE < self.latest_time;
        let Some(holding) = self.holdings.get(&limit_id).filter(|_| !is_clock_set_back) else {
            return Vec::new();
        };
        let mut permits = holding.unexpired_permits(self.own_number, now, term(self.last_offer_round).end);
        permits.retain(|permit| is_available(permit.number, limit_id, available_fraction));
        permits
    }
}

/// Whether a permit belongs to the available fraction of a limit's permits, by a hash that is the same at every sender.
fn is_available(number: u64, limit_id: LimitId, fraction: f64) -> bool {
    let hash = hash_words([number, u64::from(limit_id.0)]);
    fraction >= 1.0 || f64::from(hash) < fraction * f64::from(u32::MAX)
}
