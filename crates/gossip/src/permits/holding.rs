//! The permits of one limit that one sender may use: its own permits that it has not released, and permits granted to
//! it.
//!
//! Invariant: this sender never uses a permit that it released, and uses a granted permit only if it starts in the term
//! of the round of the grant.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use super::Permit;
use super::message::{MAX_REQUESTED_PERMITS, PermitGrantEntry};
use super::rounds::{CLOCK_STEP_TOLERANCE, PERMIT_VALIDITY, round_of_term_at, term};
use super::schedule::PermitSchedule;

/// Maximum number of stored granted permits at one limit: the grants of three terms.
const MAX_GRANTED: usize = 3 * MAX_REQUESTED_PERMITS as usize;

/// One sender's permits at one limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PermitHolding {
    pub schedule: PermitSchedule,
    /// Own permits that start before this time are not used, because an earlier process may have released or used them.
    own_permits_from: UnixMillis,
    /// By round, the number of own permits that are not released in the round's term, the first ones. In rounds without
    /// an entry no permits are released.
    retained_counts: BTreeMap<u64, usize>,
    /// The numbers of the permits that were granted to this sender.
    granted: BTreeSet<u64>,
}

impl PermitHolding {
    /// The holding at a limit that is new in `round`; the sender's own permits are used after that round's term.
    pub fn new(schedule: PermitSchedule, round: u64) -> Self {
        Self {
            schedule,
            own_permits_from: term(round).end,
            retained_counts: BTreeMap::new(),
            granted: BTreeSet::new(),
        }
    }

    /// Number of the sender's own permits in a round's term, before any are released. Permits that an earlier process may
    /// have used do not count.
    pub fn own_count(&self, sender: usize, round: u64) -> usize {
        self.schedule
            .owned_by(sender, term(round))
            .filter(|&number| self.schedule.starts_at(number) >= self.own_permits_from)
            .count()
    }

    /// Releases all but the first `count` own permits of a round's term.
    pub fn retain_first(&mut self, round: u64, count: usize) {
        self.retained_counts.insert(round, count);
    }

    /// Adds the permits granted in a round. Permits that start outside the round's term are ignored.
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

    /// Removes granted permits and the counts of retained permits that have expired. The counts are kept longer by the
    /// tolerance by which a clock may be set back.
    pub fn remove_expired(&mut self, now: UnixMillis) {
        self.retained_counts
            .retain(|round, _| term(*round).end + PERMIT_VALIDITY + CLOCK_STEP_TOLERANCE > now);
        let schedule = self.schedule;
        self.granted.retain(|&number| schedule.starts_at(number) + PERMIT_VALIDITY > now);
    }

    /// The permits that have not expired and start before `before`, ordered by number.
    pub fn unexpired_permits(&self, sender: usize, now: UnixMillis, before: UnixMillis) -> Vec<Permit> {
        let start_range = (now + 1).saturating_sub(PERMIT_VALIDITY)..before;
        let own = self
            .schedule
            .owned_by(sender, start_range.clone())
            .filter(|&number| self.is_retained(sender, number));
        let granted = self
            .granted
            .iter()
            .copied()
            .filter(|&number| start_range.contains(&self.schedule.starts_at(number)));
        let mut permits: Vec<Permit> = own.chain(granted).map(|number| self.permit(number)).collect();
        permits.sort_unstable_by_key(|permit| permit.number);
        permits.dedup();
        permits
    }

    fn permit(&self, number: u64) -> Permit {
        let from = self.schedule.starts_at(number);
        Permit { number, from, until: from + PERMIT_VALIDITY }
    }

    /// Whether an own permit is used by this sender, that is, neither released nor possibly used by an earlier process.
    fn is_retained(&self, sender: usize, number: u64) -> bool {
        let starts_at = self.schedule.starts_at(number);
        let round = round_of_term_at(starts_at);
        let is_among_first =
            |count: &usize| self.schedule.owned_by(sender, term(round)).take(*count).any(|own| own == number);
        starts_at >= self.own_permits_from && self.retained_counts.get(&round).is_none_or(is_among_first)
    }

    /// Number of stored counts and granted permits, for the tests of its bound.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.retained_counts.len() + self.granted.len()
    }
}
