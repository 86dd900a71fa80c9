//! The permits of one limit that one sender may use: its own permits that it has not released, and permits granted to
//! it.
//!
//! Invariant: this sender never uses a permit that it released. It uses a permit that was granted in a round only if the
//! permit starts in the term of that round.

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
    /// Own permits that start before this time are not usable, because an earlier process may have released or used them.
    own_permits_usable_from: UnixMillis,
    /// For each round in which permits were released: the number of own permits that this sender retained in the round's
    /// term. The retained permits are those that start first, and the others are released.
    retained_counts: BTreeMap<u64, usize>,
    /// The numbers of the permits that were granted to this sender.
    granted: BTreeSet<u64>,
}

impl PermitHolding {
    /// The holding at a limit that this sender first has in `round`. The sender uses its own permits only after the term of
    /// that round.
    pub fn new(schedule: PermitSchedule, round: u64) -> Self {
        Self {
            schedule,
            own_permits_usable_from: term(round).end,
            retained_counts: BTreeMap::new(),
            granted: BTreeSet::new(),
        }
    }

    /// Number of the sender's own permits in a round's term, before any are released. Permits that an earlier process may
    /// have used do not count.
    pub fn own_count(&self, sender: usize, round: u64) -> usize {
        self.schedule
            .owned_by(sender, term(round))
            .filter(|&number| self.schedule.starts_at(number) >= self.own_permits_usable_from)
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

    /// Removes granted permits and the counts of retained permits that have expired. The counts are stored
    /// [`CLOCK_STEP_TOLERANCE`] longer than the permits are valid, because the clock may be set back by that time.
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
            .filter(|&number| self.is_usable_own_permit(sender, number));
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

    /// Whether this sender may use one of its own permits: the permit is not released, and no earlier process may have used
    /// it.
    fn is_usable_own_permit(&self, sender: usize, number: u64) -> bool {
        let starts_at = self.schedule.starts_at(number);
        let round = round_of_term_at(starts_at);
        let is_among_first = |count: &usize| {
            self.schedule.owned_by(sender, term(round)).take(*count).any(|own_number| own_number == number)
        };
        starts_at >= self.own_permits_usable_from
            && self.retained_counts.get(&round).is_none_or(is_among_first)
    }

    /// Number of stored entries: counts of retained permits, and granted permits. Tests check that it is bounded.
    #[cfg(test)]
    pub fn entry_count(&self) -> usize {
        self.retained_counts.len() + self.granted.len()
    }
}
