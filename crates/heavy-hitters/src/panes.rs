//! What this sender was handed, in panes of the shared clock.
//!
//! Invariant: no pane is kept that lies further than a window from the clock, on either side; so memory is that of
//! `2 * PANES + 1` panes, of two sketches each, however the clock steps.
//!
//! At 64 entries that is some 90 kB at most, a little over half of it while the clock goes on.
//! Panes ahead of a clock that went back a little are kept and counted on: what was told of them must only grow.

use std::collections::BTreeMap;

use crate::sketch::MOST_COUNT;
use crate::{Digest, Key, PANES, Settings, SpaceSaving};

/// What was handed in within one pane.
#[derive(Clone, Debug)]
pub struct Pane {
    /// Messages handed in.
    pub total: u64,
    /// Of which streams.
    pub streams: SpaceSaving,
    /// With which idempotency keys.
    pub keys: SpaceSaving,
}

impl Pane {
    /// An empty one, whose ties are drawn from its number.
    #[must_use]
    pub fn new(number: u64, entries: usize) -> Self {
        Self { total: 0, streams: SpaceSaving::new(entries, number), keys: SpaceSaving::new(entries, number) }
    }
}

/// The panes of one sender.
#[derive(Clone, Debug)]
pub struct Panes {
    pane_ms: u64,
    entries: usize,
    /// The first pane of this life.
    began: u64,
    /// Whether nothing was handed to this sender in the window before it.
    idle_before: bool,
    panes: BTreeMap<u64, Pane>,
}

impl Panes {
    /// None yet, at this time (ms of the shared clock). `idle_before` says that no earlier life of this sender was
    /// handed anything within the window before; who does not know says `false`.
    #[must_use]
    pub fn new(settings: &Settings, now: u64, idle_before: bool) -> Self {
        let pane_ms = settings.pane_ms().max(1);
        let began = now / pane_ms;
        Self { pane_ms, entries: settings.entries, began, idle_before, panes: BTreeMap::new() }
    }

    /// Takes in one message of a stream, with its idempotency key if it has one.
    pub fn hand_in(&mut self, now: u64, stream: Key, key: Option<Key>) {
        self.turn(now);
        let number = now / self.pane_ms;
        let pane = self.panes.entry(number).or_insert_with(|| Pane::new(number, self.entries));
        pane.total = (pane.total + 1).min(MOST_COUNT);
        pane.streams.add(stream, 1);
        if let Some(key) = key {
            pane.keys.add(key, 1);
        }
    }

    /// Forgets what lies further than a window from this time.
    pub fn turn(&mut self, now: u64) {
        let number = now / self.pane_ms;
        self.panes.retain(|at, _| at.abs_diff(number) <= PANES);
    }

    /// What there is to tell of a pane: nothing of those before this life in which nothing was handed in.
    #[must_use]
    pub fn digest(&self, incarnation: u64, number: u64) -> Option<Digest> {
        let pane = self.panes.get(&number);
        if pane.is_none() && number < self.began {
            return None;
        }
        let whole = number > self.began || (number == self.began && self.idle_before);
        let age = number.checked_sub(self.began).filter(|age| self.idle_before && *age < PANES);
        let empty = Pane::new(number, 1);
        Some(Digest::of(incarnation, number, pane.unwrap_or(&empty), whole, age))
    }

    /// How much was handed in within a pane.
    #[must_use]
    pub fn total(&self, number: u64) -> u64 {
        self.panes.get(&number).map_or(0, |pane| pane.total)
    }

    /// How many panes are kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.panes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn however_the_clock_steps_no_pane_is_kept_beyond_a_window(
            steps in prop::collection::vec(prop_oneof![-20_000_i64..20_000, any::<i64>()], 1..200),
        ) {
            let settings = Settings::default();
            let mut now: u64 = 1_000_000;
            let mut panes = Panes::new(&settings, now, false);
            for step in steps {
                now = now.saturating_add_signed(step);
                panes.hand_in(now, Key::new(1), Some(Key::new(2)));
                let number = now / settings.pane_ms();
                prop_assert!(panes.kept() <= 2 * PANES as usize + 1);
                prop_assert!(panes.panes.keys().all(|at| at.abs_diff(number) <= PANES));
                prop_assert!(panes.total(number) > 0);
            }
        }
    }

    #[test]
    fn a_clock_that_steps_back_a_little_makes_no_told_total_smaller() {
        let mut panes = Panes::new(&Settings::default(), 10_000, true);
        panes.hand_in(12_000, Key::new(1), None);
        panes.hand_in(9_000, Key::new(1), None);
        panes.hand_in(12_100, Key::new(1), None);
        assert_eq!(panes.total(6), 2);
    }
}
