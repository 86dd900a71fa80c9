//! A fleet in simulated time from a seed: what each sender is handed, the notes between them, and the truth.
#![allow(dead_code, reason = "each test uses a part of the world")]

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_heavy_hitters::{Hottest, Key, Settings};

/// The world moves in steps of this, ms.
pub const STEP_MS: u64 = 10;
/// A note is on its way for 5 ms and up to so many more.
const WAY_MS: u64 = 55;
/// When the world begins, ms of the shared clock: at the beginning of a pane of 2 s.
pub const BEGIN_MS: u64 = 1_700_000_000_000;

pub struct World {
    pub now: u64,
    pub settings: Settings,
    pub senders: Vec<Hottest>,
    /// Part of the notes that is lost.
    pub lost: f64,
    /// Senders from and to whom nothing comes.
    pub deaf: BTreeSet<usize>,
    /// Messages handed in, by pane and stream.
    pub truth: BTreeMap<u64, BTreeMap<Key, u64>>,
    pub notes: u64,
    pub bytes: u64,
    /// Notes kept for a replay.
    pub taped: Vec<(usize, usize, Vec<u8>)>,
    flying: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    due: Vec<u64>,
    rng: ChaCha8Rng,
}

impl World {
    pub fn new(seed: u64, count: usize, settings: Settings, begin: u64) -> Self {
        let sender = |me| Hottest::new(settings, me, count, 1, begin, true).expect("the settings are right");
        Self {
            now: begin,
            settings,
            senders: (0..count).map(sender).collect(),
            lost: 0.0,
            deaf: BTreeSet::new(),
            truth: BTreeMap::new(),
            notes: 0,
            bytes: 0,
            taped: Vec::new(),
            flying: BTreeMap::new(),
            due: vec![begin; count],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A draw from 0 to 1.
    pub fn chance(&mut self) -> f64 {
        self.rng.next_u32() as f64 / u32::MAX as f64
    }

    pub fn hand_in(&mut self, to: usize, stream: Key, key: Option<Key>) {
        self.senders[to].hand_in(self.now, stream, key);
        let pane = self.truth.entry(self.now / self.settings.pane_ms()).or_default();
        *pane.entry(stream).or_default() += 1;
    }

    /// Sends a note, which may be lost.
    pub fn post(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.notes += 1;
        self.bytes += bytes.len() as u64;
        let at = self.now + 5 + u64::from(self.rng.next_u32()) % WAY_MS;
        let deaf = self.deaf.contains(&from) || self.deaf.contains(&to);
        if self.chance() >= self.lost && !deaf {
            self.flying.insert((at, self.notes), (from, to, bytes));
        }
    }

    /// One step: what each is handed, then notes that arrive, then notes that are due.
    pub fn step(&mut self, mut handed: impl FnMut(&mut Self)) {
        handed(self);
        let later = self.flying.split_off(&(self.now + 1, 0));
        for (from, to, bytes) in std::mem::replace(&mut self.flying, later).into_values() {
            // What is refused is refused; the truth must hold anyhow.
            let _ = self.senders[to].hear(self.now, from, &bytes);
            self.taped.push((from, to, bytes));
        }
        for me in 0..self.senders.len() {
            if self.due[me] <= self.now {
                for (to, bytes) in self.senders[me].notes_due(self.now) {
                    self.post(me, to, bytes);
                }
                self.due[me] = self.senders[me].next_due(self.now);
            }
        }
        // A replay takes a minute's worth.
        let old = self.taped.len().saturating_sub(20_000);
        self.taped.drain(..old);
        self.now += STEP_MS;
    }

    pub fn run(&mut self, ms: u64, mut handed: impl FnMut(&mut Self)) {
        for _ in 0..ms / STEP_MS {
            self.step(&mut handed);
        }
    }

    /// What was handed in within some panes, by stream.
    pub fn of(&self, panes: std::ops::Range<u64>) -> BTreeMap<Key, u64> {
        let mut sums = BTreeMap::new();
        for (key, count) in self.truth.range(panes).flat_map(|(_, pane)| pane) {
            *sums.entry(*key).or_default() += count;
        }
        sums
    }

    /// Checks that the truth lies in every interval of every view; how many views there are.
    pub fn check(&self) -> usize {
        let mut checked = 0;
        for (me, sender) in self.senders.iter().enumerate() {
            let Some(view) = sender.view() else { continue };
            let truth = self.of(view.panes());
            let all = truth.values().sum();
            assert!(view.all().holds(all), "{me}: {all} handed in, {:?} by {view:?}", view.all());
            for (key, count) in &truth {
                assert!(
                    view.stream(*key).holds(*count),
                    "{me}: {count} of {:?} by {view:?}",
                    view.stream(*key)
                );
            }
            for sum in view.streams() {
                let count = truth.get(&sum.key).copied().unwrap_or(0);
                assert!(view.stream(sum.key).holds(count), "{me}: {count} of {sum:?} by {view:?}");
            }
            checked += 1;
        }
        checked
    }

    /// How many senders have a stream for hot.
    pub fn found(&self, stream: Key) -> usize {
        self.senders.iter().filter(|sender| sender.is_hot(stream)).count()
    }
}

/// Streams by Zipf's law.
pub struct Zipf(Vec<f64>);

impl Zipf {
    pub fn new(streams: usize, exponent: f64) -> Self {
        let weights = (1..=streams).map(|rank| (rank as f64).powf(-exponent));
        let mut sums: Vec<f64> = weights
            .scan(0.0, |sum, weight| {
                *sum += weight;
                Some(*sum)
            })
            .collect();
        let all = sums.last().copied().unwrap_or(1.0);
        sums.iter_mut().for_each(|sum| *sum /= all);
        Self(sums)
    }

    /// The stream at this point of all, 0 to 1.
    pub fn stream(&self, point: f64) -> Key {
        Key::new(self.0.partition_point(|sum| *sum < point) as u64 + 1)
    }
}
