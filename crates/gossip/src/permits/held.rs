//! What one sender holds of one limit: its own turns, less those it gave up, and those that it was lent.
//!
//! Invariant: a turn that was given up in a round is never used here again, and one that was lent only in its term.

use std::collections::{BTreeMap, BTreeSet};

use super::Permit;
use super::message::{MOST_TURNS, PermitGrantEntry};
use super::rounds::{BACK, LEAD, ROUND, VALID, term};
use super::schedule::Schedule;

/// Turns that are lent to one sender at one gate at a time, at most: of the terms that are not over.
const MOST_LENT: usize = 3 * MOST_TURNS as usize;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub schedule: Schedule,
    /// No turn of its own counts before this, ms since 1970: an earlier process may have given it up, or used it.
    quiet_until: u64,
    /// How many of its own turns of a round's term it kept, the first ones; all, of rounds that are not here.
    kept: BTreeMap<u64, usize>,
    lent: BTreeSet<u64>,
}

impl Held {
    /// Of a gate that is new in this round.
    pub fn new(schedule: Schedule, round: u64) -> Self {
        Self { schedule, quiet_until: term(round).end, kept: BTreeMap::new(), lent: BTreeSet::new() }
    }

    /// How many turns of its own a sender has in a round's term.
    pub fn own(&self, me: usize, round: u64) -> usize {
        self.schedule
            .of(me, term(round))
            .filter(|&turn| self.schedule.begins(turn) >= self.quiet_until)
            .count()
    }

    /// Gives up all but the first so many of its own turns in a round's term.
    pub fn keep(&mut self, round: u64, kept: usize) {
        self.kept.insert(round, kept);
    }

    /// Takes in turns that were lent in a round; nothing that is not of that round's term counts.
    pub fn lend(&mut self, round: u64, entry: &PermitGrantEntry) {
        let all = self.schedule.within(term(round));
        let mut turn = all.start;
        for (n, gap) in entry.gaps.iter().enumerate() {
            turn += u64::from(*gap);
            let rises = n == 0 || *gap > 0;
            if rises && all.contains(&turn) && self.lent.len() < MOST_LENT {
                self.lent.insert(turn);
            }
        }
    }

    /// Drops what is over, also by a clock that goes back a little.
    pub fn forget(&mut self, now: u64) {
        self.kept.retain(|round, _| term(*round).end + VALID + BACK > now);
        let schedule = self.schedule;
        self.lent.retain(|&turn| schedule.begins(turn) + VALID > now);
    }

    /// The turns that may still be used, and that begin before such a time.
    pub fn turns(&self, me: usize, now: u64, before: u64) -> Vec<Permit> {
        let time = (now + 1).saturating_sub(VALID)..before;
        let own = self.schedule.of(me, time.clone()).filter(|&turn| self.is_kept(me, turn));
        let lent = self.lent.iter().copied().filter(|&turn| time.contains(&self.schedule.begins(turn)));
        let turn = |number| {
            let from = self.schedule.begins(number);
            Permit { number, from, until: from + VALID }
        };
        let mut turns: Vec<Permit> = own.chain(lent).map(turn).collect();
        turns.sort_unstable_by_key(|turn| turn.number);
        turns.dedup();
        turns
    }

    fn is_kept(&self, me: usize, turn: u64) -> bool {
        let begins = self.schedule.begins(turn);
        // The round in whose term it lies.
        let round = (begins.saturating_sub(LEAD) / ROUND).saturating_sub(1);
        let within = |kept: &usize| self.schedule.of(me, term(round)).take(*kept).any(|own| own == turn);
        begins >= self.quiet_until && self.kept.get(&round).is_none_or(within)
    }

    /// How much it keeps in mind.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.kept.len() + self.lent.len()
    }
}
