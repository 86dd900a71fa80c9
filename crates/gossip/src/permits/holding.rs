//! The permits of one limit that one sender may use: its own ones that it has not released, and those granted to it.
//!
//! Invariant: a released permit is never used by this sender, and a granted one only in its round's term.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use super::Permit;
use super::message::{MAX_REQUESTED_PERMITS, PermitGrantEntry};
use super::rounds::{CLOCK_STEP_TOLERANCE, PERMIT_VALIDITY, round_of_term_at, term};
use super::schedule::PermitSchedule;

/// Maximum number of granted permits at one limit: those of three terms.
const MAX_GRANTED: usize = 3 * MAX_REQUESTED_PERMITS as usize;

/// One sender's permits at one limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitHolding {
    pub schedule: PermitSchedule,
    /// Own permits that start before this are not used: an earlier process may have released or used them.
    usable_from: UnixMillis,
    /// Number of own permits retained in a round's term, the first ones; all are in rounds without an entry.
    retained: BTreeMap<u64, usize>,
    granted: BTreeSet<u64>,
}

impl PermitHolding {
    /// The holding at a limit that is new in `round`.
    pub fn new(schedule: PermitSchedule, round: u64) -> Self {
        Self { schedule, usable_from: term(round).end, retained: BTreeMap::new(), granted: BTreeSet::new() }
    }

    /// Number of the sender's own usable permits in a round's term.
    pub fn own_count(&self, sender: usize, round: u64) -> usize {
        self.schedule
            .owned_by(sender, term(round))
            .filter(|&number| self.schedule.starts_at(number) >= self.usable_from)
            .count()
    }

    /// Releases all but the first `count` own permits of a round's term.
    pub fn retain_first(&mut self, round: u64, count: usize) {
        self.retained.insert(round, count);
    }

    /// Adds the permits granted in a round; permits outside the round's term are ignored.
    pub fn add_granted(&mut self, round: u64, entry: &PermitGrantEntry) {
        let term_numbers = self.schedule.starting_in(term(round));
        let mut number = term_numbers.start;
        for (index, delta) in entry.number_deltas.iter().enumerate() {
            number += u64::from(*delta);
            let is_ascending = index == 0 || *delta > 0;
            if is_ascending && term_numbers.contains(&number) && self.granted.len() < MAX_GRANTED {
                self.granted.insert(number);
            }
        }
    }

    /// Removes what has expired, also for a clock that is set back by no more than the tolerance.
    pub fn remove_expired(&mut self, now: UnixMillis) {
        self.retained.retain(|round, _| term(*round).end + PERMIT_VALIDITY + CLOCK_STEP_TOLERANCE > now);
        let schedule = self.schedule;
        self.granted.retain(|&number| schedule.starts_at(number) + PERMIT_VALIDITY > now);
    }

    /// The permits that have not expired and start before `before`, ordered by number.
    pub fn usable(&self, sender: usize, now: UnixMillis, before: UnixMillis) -> Vec<Permit> {
        let time = (now + 1).saturating_sub(PERMIT_VALIDITY)..before;
        let own =
            self.schedule.owned_by(sender, time.clone()).filter(|&number| self.is_retained(sender, number));
        let granted =
            self.granted.iter().copied().filter(|&number| time.contains(&self.schedule.starts_at(number)));
        let mut permits: Vec<Permit> = own.chain(granted).map(|number| self.permit(number)).collect();
        permits.sort_unstable_by_key(|permit| permit.number);
        permits.dedup();
        permits
    }

    fn permit(&self, number: u64) -> Permit {
        let from = self.schedule.starts_at(number);
        Permit { number, from, until: from + PERMIT_VALIDITY }
    }

    fn is_retained(&self, sender: usize, number: u64) -> bool {
        let starts_at = self.schedule.starts_at(number);
        let round = round_of_term_at(starts_at);
        let is_among_first =
            |count: &usize| self.schedule.owned_by(sender, term(round)).take(*count).any(|own| own == number);
        starts_at >= self.usable_from && self.retained.get(&round).is_none_or(is_among_first)
    }

    /// Number of entries, for the tests of its bound.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.retained.len() + self.granted.len()
    }
}
