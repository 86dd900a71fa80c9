//! Sums over senders, and how much of a limit they leave for each.

use std::collections::BTreeMap;

use crate::limit_id::LimitId;

/// K of the drop formula: the design's default, as in the decision module.
const K: f64 = 1.5;
/// Of a limit that refuses everything so much is still tried, or nobody would learn that it has room again.
const LEAST: f64 = 0.15;
/// The part of a limit that is given out while nothing is refused: calls of many senders do not come evenly.
const GIVEN: f64 = 0.95;
/// The part after what was given out did not fit, as a share of that before: what was let in, and this at least; and how
/// fast it grows back, a second.
const CUT: f64 = 0.7;
const GROWTH: f64 = 0.1;
const LEAST_PART: f64 = 0.2;
/// Above this share of the calls refusals are more than chance.
const REFUSED: f64 = 0.02;
/// So many failures, few calls answered between, and this share of the calls failed, show that a partner is down: one
/// of its endpoints that fails beside sound ones does neither. As many as one sender alone goes by.
const DOWN_RUN: f64 = 4.0;
const DOWN: f64 = 0.8;
/// Calls beyond this multiple of what was given out are not its fault: they were made before it was known.
const BEYOND: f64 = 1.15;

/// What senders together want of a gate, call and are refused there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Calls wanted now: what waits, and what comes before the next word.
    pub wanted: f64,
    /// Calls of the last second.
    pub called: f64,
    /// ...that were refused.
    pub refused: f64,
    /// Calls known in the last second to have failed.
    pub failed: f64,
}

impl Sum {
    fn add(&mut self, other: &Self) {
        self.wanted += other.wanted;
        self.called += other.called;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// As if so many times as many senders were in it.
    pub(crate) fn times(&self, n: f64) -> Self {
        let Self { wanted, called, refused, failed } = *self;
        Self { wanted: wanted * n, called: called * n, refused: refused * n, failed: failed * n }
    }
}

/// The reports of one round, added up as they come.
#[derive(Debug, Default)]
pub(crate) struct Collected {
    /// Who is in it.
    pub from: Vec<usize>,
    pub sums: BTreeMap<LimitId, Sum>,
}

impl Collected {
    /// Adds a sender's report; `false` if it is in it already.
    pub fn add(&mut self, from: usize, gates: &[(LimitId, Sum)]) -> bool {
        if self.from.contains(&from) {
            return false;
        }
        self.from.push(from);
        for (gate, sum) in gates {
            self.sums.entry(*gate).or_default().add(sum);
        }
        true
    }
}

/// How much of one limit is given out. All senders that hear the same sums come to the same figure.
#[derive(Clone, Debug)]
pub(crate) struct Level {
    /// The part of the told limit that the partner is believed to take: lowered limits are not told.
    part: f64,
    /// Calls a second that were given out when the last sums came.
    given: f64,
    /// Whether the last sums told of refusals.
    refusing: bool,
    /// Failures since calls were last answered, all over.
    failures: f64,
    /// The part that it may be sent since an outage, as it grows.
    ramp: f64,
}

/// What senders may do together to a partner that returns from an outage: it comes back cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// The part of its limit that it is sent while it is down, and from its return on.
    pub start: f64,
    /// How much more of it there is each second from then on.
    pub growth: f64,
}

impl Default for Level {
    fn default() -> Self {
        Self { part: GIVEN, given: f64::INFINITY, refusing: false, failures: 0.0, ramp: f64::INFINITY }
    }
}

impl Level {
    /// The part of all that may be given out of such a limit that the partner is believed to take now, from 0 to 1.
    pub fn open(&self, limit: f64) -> f64 {
        (self.given / (limit * GIVEN)).clamp(0.0, 1.0)
    }

    /// Takes in new sums, `after` seconds after the last ones: calls a second of a limit of so many for each call that
    /// is wanted.
    ///
    /// What is given out is what the drop formula over all senders' calls and accepts lets through. Where it did not
    /// fit though no more was called, the partner takes less than it says; a swell that nobody had told of yet only
    /// has to pass. One sender of hundreds hardly sees an outage by itself: what all saw fail tells of it.
    pub fn room(&mut self, limit: f64, sum: &Sum, after: f64, ramp: Ramp) -> f64 {
        let accepts = (sum.called - sum.refused).max(0.0);
        let drop = ((sum.called - K * accepts) / (sum.called + 1.0)).clamp(0.0, 1.0 - LEAST);
        let refusing = sum.refused > REFUSED * sum.called;
        if refusing && !self.refusing && sum.called <= BEYOND * self.given {
            self.part = (self.part * (1.0 - sum.refused / sum.called).max(CUT)).max(LEAST_PART);
        } else if !refusing {
            self.part = (self.part + GROWTH * after).min(GIVEN);
        }
        self.refusing = refusing;
        let failing = sum.failed > 0.0 && sum.failed >= DOWN * sum.called;
        if failing {
            self.failures += sum.failed * after;
        } else if sum.called > 0.0 {
            self.failures = 0.0;
        }
        let down = self.failures >= DOWN_RUN;
        self.ramp = if down { ramp.start } else { self.ramp + ramp.growth * after };
        self.given = limit * self.part.min(self.ramp) * (1.0 - drop);
        self.given / sum.wanted.max(f64::MIN_POSITIVE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RAMP: Ramp = Ramp { start: 0.28, growth: 0.15 };

    #[test]
    fn a_few_refusals_cut_little() {
        let (mut level, all) = (Level::default(), Sum { wanted: 100.0, called: 95.0, ..Sum::default() });
        level.room(100.0, &all, 0.25, RAMP);
        let after = level.room(100.0, &Sum { refused: 5.0, ..all }, 0.25, RAMP);
        assert!(after > 0.88, "{after} for each call after one in nineteen was refused");
    }

    /// The calls that a limit of 100 a second lets through after each of these sums, four of them a second.
    fn given(level: &mut Level, sums: &[Sum]) -> Vec<f64> {
        sums.iter().map(|sum| (level.room(100.0, sum, 0.25, RAMP) * sum.wanted * 1e6).round() / 1e6).collect()
    }

    #[test]
    fn a_partner_that_all_saw_fail_is_sent_little_until_it_answers_and_more_by_and_by() {
        let well = Sum { wanted: 200.0, called: 90.0, ..Sum::default() };
        let down = Sum { failed: 80.0, ..well };
        let mut level = Level::default();
        assert_eq!(given(&mut level, &[well, down, down])[1..], [28.0, 28.0]);
        // Nobody has called: nothing says that it is back.
        assert_eq!(given(&mut level, &[Sum { called: 0.0, ..well }]), [28.0]);
        let back = given(&mut level, &[well; 30]);
        for (quarter, given) in (1..).zip(back) {
            let ramp: f64 = 28.0 + 15.0 * f64::from(quarter) / 4.0;
            assert!((given - ramp.min(95.0)).abs() < 1e-9, "{given} after {quarter} quarters of a second");
        }
    }

    #[test]
    fn one_endpoint_that_fails_beside_sound_ones_or_a_call_or_two_is_no_outage() {
        let half = Sum { wanted: 200.0, called: 90.0, failed: 60.0, ..Sum::default() };
        let two = Sum { wanted: 200.0, called: 2.0, failed: 2.0, ..Sum::default() };
        let mut level = Level::default();
        for sums in [[half; 8].as_slice(), &[two; 4]] {
            assert!(given(&mut level, sums).iter().all(|given| *given == 95.0), "{sums:?}");
        }
    }
}
