//! Shares by sums, under a lease.
//!
//! Invariant: a sender's share is the least of those that it worked out within a lease, and its floor if there are none:
//! it shrinks at once, and grows when whatever was smaller has run out.

use std::collections::BTreeMap;

use super::{Allotted, STEP};

/// Rounds of shares, ms, and how long what was worked out in one is relied on.
const ROUND: u64 = 500;
const LEASE: u64 = 2_000;
/// The part of a limit that is given out, as of rights, and the floor's of an equal part of that.
const GIVEN: f64 = 0.95;
const FLOOR: f64 = 0.5;
/// A call that a share allows goes within this time or not at all, as a turn does, ms.
const VALID: u64 = 100;

/// A note.
pub(super) enum Word {
    Demands { round: u64, wanted: f64 },
    Sum { round: u64, wanted: f64, senders: usize },
}

/// One sender's share.
pub(super) struct Share {
    me: usize,
    senders: usize,
    limit: f64,
    /// What was told in which round, and what others told of this one.
    told: (u64, f64),
    collected: BTreeMap<usize, f64>,
    /// Shares by round.
    shares: BTreeMap<u64, f64>,
    /// Calls come due when this passes a whole number; the last one that did may go until then.
    phase: f64,
    due_until: u64,
}

impl Share {
    pub fn new(me: usize, senders: usize, limit: f64) -> Self {
        // Equal shares call one after another.
        let phase = me as f64 / senders as f64;
        let (collected, shares) = (BTreeMap::new(), BTreeMap::new());
        Self { me, senders, limit, told: (0, 0.0), collected, shares, phase, due_until: 0 }
    }

    fn calls_a_second(&mut self, wall: u64) -> f64 {
        self.shares.retain(|round, _| (round + 1) * ROUND + LEASE > wall);
        let floor = FLOOR * GIVEN * self.limit / self.senders as f64;
        self.shares.values().copied().reduce(f64::min).unwrap_or(floor)
    }

    fn take(&mut self, round: u64, wanted: f64, senders: usize) {
        // Parts of the fleet that hear only themselves would each give out what is beyond the other's floors.
        if self.told.0 == round && senders * 2 > self.senders {
            let unheard = (self.senders - senders) as f64 / self.senders as f64;
            let left = GIVEN * self.limit * (1.0 - unheard * FLOOR);
            self.shares.insert(round, left * self.told.1 / wanted);
        }
    }
}

impl Allotted for Share {
    type Note = Word;

    fn tell(&mut self, wall: u64, wanted: f64) -> Vec<(usize, Word)> {
        let mut datagrams = Vec::new();
        let round = wall / ROUND;
        if wall % ROUND < STEP && !self.collected.is_empty() {
            let collected = std::mem::take(&mut self.collected);
            let (round, wanted, senders) = (round - 1, collected.values().sum(), collected.len());
            self.take(round, wanted, senders);
            let others = collected.into_keys().filter(|to| *to != self.me);
            datagrams.extend(others.map(|to| (to, Word::Sum { round, wanted, senders })));
        }
        let moment = 100 + self.me as u64 * 300 / self.senders as u64;
        if round > self.told.0 && wall % ROUND >= moment {
            // Somebody that asks for nothing has nothing when a message comes.
            self.told = (round, wanted + 1.0);
            // Another one each round; the factor, a prime, only stirs.
            let adds_up = (round.wrapping_mul(7_919) % self.senders as u64) as usize;
            if adds_up == self.me {
                self.collected.insert(self.me, self.told.1);
            } else {
                datagrams.push((adds_up, Word::Demands { round, wanted: self.told.1 }));
            }
        }
        let before = self.phase.floor();
        self.phase += self.calls_a_second(wall) * STEP as f64 / 1_000.0;
        if self.phase.floor() > before {
            self.due_until = wall + VALID;
        }
        datagrams
    }

    fn hear(&mut self, wall: u64, from: usize, note: Word) {
        match note {
            Word::Demands { round, wanted } if round == wall / ROUND => {
                self.collected.insert(from, wanted);
            }
            Word::Demands { .. } => {}
            Word::Sum { round, wanted, senders } => self.take(round, wanted, senders),
        }
    }

    fn call(&mut self, wall: u64) -> bool {
        std::mem::take(&mut self.due_until) > wall
    }
}
