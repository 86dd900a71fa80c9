//! Turns at one limit: when each begins, and whose it is. All senders reckon alike, in whole numbers.

use std::ops::Range;

use crate::limit_id::LimitId;

/// The part of a limit that is given out as turns: calls do not arrive as evenly as they start.
const GIVEN: f64 = 0.95;
/// Least and longest time between turns, microseconds: 125,000 calls a second, and one in an hour.
const STEPS: (f64, f64) = (8.0, 3.6e9);

/// Turn `k` begins `k` steps after 1970 and belongs to one of so many senders, each in its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Schedule {
    step: u64,
    senders: u64,
    /// Gates of one limit do not serve their senders in step.
    phase: u64,
}

impl Schedule {
    /// Of a limit of so many calls a second; one that is no limit gives the fewest turns.
    pub fn new(gate: LimitId, limit: f64, senders: usize) -> Self {
        let step = 1e6 / (limit * GIVEN);
        let step = if step.is_nan() || step <= 0.0 { STEPS.1 } else { step.clamp(STEPS.0, STEPS.1) };
        Self { step: step.round() as u64, senders: senders.max(1) as u64, phase: u64::from(gate.0) }
    }

    /// When a turn begins, ms since 1970.
    pub fn begins(&self, turn: u64) -> u64 {
        turn.saturating_mul(self.step) / 1_000
    }

    #[cfg(test)]
    pub fn owner(&self, turn: u64) -> usize {
        (turn.wrapping_add(self.phase) % self.senders) as usize
    }

    /// The turns that begin in a time, ms since 1970.
    pub fn within(&self, time: Range<u64>) -> Range<u64> {
        let first = |at: u64| at.saturating_mul(1_000).div_ceil(self.step);
        first(time.start)..first(time.end)
    }

    /// Those of one sender.
    pub fn of(&self, sender: usize, time: Range<u64>) -> impl Iterator<Item = u64> + use<> {
        let Range { start, end } = self.within(time);
        let ahead =
            (sender as u64 + self.senders - (start.wrapping_add(self.phase) % self.senders)) % self.senders;
        (start + ahead..end).step_by(self.senders as usize)
    }

    /// Two that do not agree on it do not speak of the same turns: once in 65,536 they would not notice.
    pub fn mark(&self) -> u16 {
        let bytes = [self.step.to_le_bytes(), self.senders.to_le_bytes()].concat();
        crc32fast::hash(&bytes) as u16
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_turn_has_one_owner_and_each_sender_one_in_so_many() {
        for (limit, senders) in [(60.0, 12), (0.3, 300), (1_000.0, 7), (75.0, 300)] {
            let schedule = Schedule::new(LimitId::of(7, None), limit, senders);
            let time = 1_700_000_000_123..1_700_000_020_456;
            let all = schedule.within(time.clone());
            let mut dealt: Vec<(u64, usize)> =
                (0..senders).flat_map(|n| schedule.of(n, time.clone()).map(move |turn| (turn, n))).collect();
            dealt.sort_unstable();
            let owners: Vec<(u64, usize)> = all.clone().map(|turn| (turn, schedule.owner(turn))).collect();
            assert_eq!(dealt, owners);
            assert!(all.clone().all(|turn| time.contains(&schedule.begins(turn))));
            let wanted = limit * GIVEN * 20.333;
            assert!((all.count() as f64 - wanted).abs() <= 1.0 + wanted / 1_000.0, "{limit}");
        }
    }

    #[test]
    fn a_limit_that_is_none_gives_the_fewest_turns() {
        for limit in [0.0, -3.0, f64::NAN] {
            let schedule = Schedule::new(LimitId::of(7, None), limit, 3);
            assert_eq!(schedule.within(0..3_600_001).count(), 2, "{limit}");
        }
    }
}
