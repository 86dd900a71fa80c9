//! Rights to call: a bound on what all senders together start at a limit, whoever hears nothing, for however long.
//!
//! Invariant: each turn of a limit may be used by one process at the most, within [`VALID`](rounds::VALID) of its beginning.
//!
//! A limit is dealt out as turns ([`Schedule`](schedule::Schedule)), each with one owner, by the shared clock alone. In
//! each round a sender gives up the turns of the round's term that it will not need, to one other that deals them out
//! to those that ask; it has given them up before the note leaves. A note that is lost leaves turns unused, never used
//! twice. Where `n` senders' clocks differ by `e` at the most, calls started in a span `s` are at the most
//! `0.95 * limit * (s + VALID + 2 e) + 1`; while the list is changing, with the larger limit.

mod allocator_selection;
#[cfg(test)]
mod exhaustive;
mod held;
mod message;
mod permit_allocator;
#[cfg(test)]
mod refusals;
mod rounds;
mod schedule;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::envelope::EnvelopeError;
use crate::fleet::{OutgoingDatagram, Own};
use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use allocator_selection::AllocatorSelection;
use held::Held;
use message::{MOST_GATES, MOST_TURNS, PermitGrant, PermitMessage, PermitOffer, PermitOfferEntry};
use permit_allocator::PermitAllocator;
pub use rounds::ROUND;
use rounds::{BACK, NOTE_LIVES, OFFERING, term};
use schedule::Schedule;

/// A right to start one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Names it, at its gate.
    pub number: u64,
    /// From when on, ms since 1970.
    pub from: u64,
    /// Before when.
    pub until: u64,
}

/// Why a note on rights was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PermitError {
    /// It is no such note.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// Of a round that is over, or was heard, or not asked of who answers, or asked by an earlier process.
    #[error("it is of another round, process or dealer")]
    Round,
    /// From nobody of the tier, or from ourselves.
    #[error("it comes from no other sender of the tier")]
    UnknownSender,
}

/// One sender's rights. They begin anew with each process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PermitLedger {
    me: usize,
    senders: usize,
    incarnation: Incarnation,
    /// The round of the last offer.
    offered: u64,
    /// The latest time seen.
    last: u64,
    /// Who was asked to deal, in rounds whose terms are not over.
    asked: BTreeMap<u64, usize>,
    gates: BTreeMap<LimitId, Held>,
    dealers: AllocatorSelection,
    dealer: PermitAllocator,
}

impl PermitLedger {
    /// Of sender number `me` of `senders`, in the process of that incarnation, from `wall` on (ms since 1970). An earlier
    /// process of the same sender has ended by then.
    pub fn new(me: usize, senders: usize, incarnation: Incarnation, wall: u64) -> Self {
        let round = wall / ROUND;
        Self {
            me,
            senders,
            incarnation,
            offered: round,
            last: wall,
            asked: BTreeMap::new(),
            gates: BTreeMap::new(),
            dealers: AllocatorSelection::new(senders),
            dealer: PermitAllocator::new(round),
        }
    }

    /// When this sender's next offer is due, ms since 1970.
    pub fn next_offer(&self, wall: u64) -> u64 {
        let moment = self.me as u64 * (OFFERING.end - OFFERING.start) / self.senders.max(1) as u64;
        let at = wall / ROUND * ROUND + OFFERING.start + moment;
        if at > wall { at } else { at + ROUND }
    }

    /// When what others offered is to be dealt out, ms since 1970.
    pub fn next_deal(&self) -> Option<u64> {
        self.dealer.next().map(|round| (round + 1) * ROUND)
    }

    /// A clock that was set back begins everything anew, from the round to which it had come: until then turns were
    /// given up and dealt out, and notes on them may still be heard.
    fn look(&mut self, wall: u64) {
        if wall + BACK < self.last {
            let (round, reached) = (wall / ROUND, self.offered.max(self.last / ROUND));
            let begins = if reached > round + NOTE_LIVES { round } else { reached };
            *self = Self::new(self.me, self.senders, self.incarnation, begins * ROUND);
            self.last = wall;
        }
        self.last = self.last.max(wall);
    }

    /// Once a round: gives up what this sender will not need, and asks for what it lacks.
    pub fn offer(&mut self, wall: u64, own: &[Own]) -> Option<OutgoingDatagram> {
        self.look(wall);
        let round = wall / ROUND;
        // Of what was given up before, where the clock was set back, a gate knows nothing.
        let begins = round.max(self.offered);
        self.gates.retain(|gate, _| own.iter().any(|o| o.gate == *gate));
        for o in own {
            let schedule = Schedule::new(o.gate, o.limit, self.senders);
            let held = self.gates.entry(o.gate).or_insert_with(|| Held::new(schedule, begins));
            if held.schedule != schedule {
                *held = Held::new(schedule, begins);
            }
            held.forget(wall);
        }
        self.asked.retain(|round, _| term(*round).end > wall);
        if round <= self.offered {
            return None;
        }
        let known_until = term(self.offered).end;
        self.offered = round;
        let (dealer, is_there) = self.dealers.of(round)?;
        self.asked.insert(round, dealer);
        let mut entries: Vec<PermitOfferEntry> =
            own.iter().filter_map(|o| self.entry(o, round, wall, known_until, is_there)).collect();
        entries.sort_by_key(|entry| (std::cmp::Reverse((entry.asked, entry.lent)), entry.gate));
        entries.truncate(MOST_GATES);
        for entry in &entries {
            if let Some(held) = self.gates.get_mut(&LimitId(entry.gate)).filter(|_| entry.lent > 0) {
                held.keep(round, held.own(self.me, round) - usize::from(entry.lent));
            }
        }
        let offer = PermitOffer { round, incarnation: self.incarnation, entries };
        if dealer == self.me {
            self.dealer.take(round, self.me, offer);
            return None;
        }
        // One without room for itself goes nowhere: what it gave up is lost to this term.
        PermitMessage::PermitOffer(offer).encode().ok().map(|note| (dealer, note))
    }

    /// What to offer at a gate: nothing where neither is anything left nor wanted.
    fn entry(
        &self,
        o: &Own,
        round: u64,
        wall: u64,
        known_until: u64,
        gives: bool,
    ) -> Option<PermitOfferEntry> {
        let held = self.gates.get(&o.gate)?;
        let coming = held.turns(self.me, wall, known_until).len() as f64;
        let need = (o.wanted - coming).round().max(0.0) as usize;
        let mine = held.own(self.me, round);
        let lent = if gives { mine.saturating_sub(need).min(usize::from(u16::MAX)) } else { 0 };
        let asked = need.saturating_sub(mine).min(usize::from(MOST_TURNS));
        let (mark, gate) = (held.schedule.mark(), o.gate.0);
        (lent + asked > 0).then_some(PermitOfferEntry { gate, mark, lent: lent as u16, asked: asked as u8 })
    }

    /// Takes in a note; whether there may be other turns now.
    ///
    /// # Errors
    ///
    /// [`PermitError`] says why it was dropped; nothing has changed then.
    pub fn hear(&mut self, wall: u64, from: usize, note: &[u8]) -> Result<bool, PermitError> {
        self.look(wall);
        if from == self.me || from >= self.senders {
            return Err(PermitError::UnknownSender);
        }
        match PermitMessage::decode(note)? {
            PermitMessage::PermitOffer(offer) => {
                let counts = self.dealer.take(wall / ROUND, from, offer);
                if counts { Ok(false) } else { Err(PermitError::Round) }
            }
            // Nobody but the one that was asked deals here.
            PermitMessage::PermitGrant(grant) if self.asked.get(&grant.round) == Some(&from) => {
                if grant.incarnation != self.incarnation {
                    return Err(PermitError::Round);
                }
                self.take(&grant);
                Ok(true)
            }
            PermitMessage::PermitGrant(_) => Err(PermitError::Round),
        }
    }

    fn take(&mut self, grant: &PermitGrant) {
        self.dealers.heard(grant.round, grant.heard);
        for entry in grant.entries.iter().take(MOST_GATES) {
            let held = self.gates.get_mut(&LimitId(entry.gate));
            if let Some(held) = held.filter(|held| held.schedule.mark() == entry.mark) {
                held.lend(grant.round, entry);
            }
        }
    }

    /// Deals out what was offered in rounds that are over.
    pub fn deal(&mut self, wall: u64) -> Vec<OutgoingDatagram> {
        self.look(wall);
        let schedule = |gate| self.gates.get(&gate).map(|held: &Held| held.schedule);
        let grants = self.dealer.deal(wall / ROUND, |n| self.dealers.bit(n), schedule);
        let mut datagrams = Vec::new();
        for (to, grant) in grants {
            if to == self.me {
                self.take(&grant);
            } else if let Ok(note) = PermitMessage::PermitGrant(grant).encode() {
                datagrams.push((to, note));
            }
        }
        datagrams
    }

    /// The turns at a gate that this sender may still use. `open` is the part of the limit that the partner is believed
    /// to take, from 0 to 1: as many turns are left out, the same at every sender.
    pub fn turns(&self, wall: u64, gate: LimitId, open: f64) -> Vec<Permit> {
        // What was given up is no longer in mind for a time long over.
        let Some(held) = self.gates.get(&gate).filter(|_| wall + BACK >= self.last) else {
            return Vec::new();
        };
        let passes = |turn: &Permit| {
            let draw = crc32fast::hash(&[turn.number, u64::from(gate.0)].map(u64::to_le_bytes).concat());
            f64::from(draw) < open * f64::from(u32::MAX)
        };
        let mut turns = held.turns(self.me, wall, term(self.offered).end);
        turns.retain(|turn| open >= 1.0 || passes(turn));
        turns
    }
}
