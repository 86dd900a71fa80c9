//! Senders in simulated time before one gate, and faults among their notes, processes and clocks.

use std::collections::BTreeMap;

use super::super::rounds::VALID;
use super::super::*;

/// Chance from a seed, for tests.
pub(super) struct Draw(pub(super) u64);

impl Draw {
    pub(super) fn unit(&mut self) -> f64 {
        // The multiplier of a 64-bit congruential generator (Knuth); its upper bits are good enough here.
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(super) fn below(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }
}

pub(super) const DAWN: u64 = 1_700_000_000_000;
pub(super) const STEP: u64 = 10;

/// How notes fare.
#[derive(Clone, Copy, Default)]
pub(super) struct Weather {
    pub(super) lost: f64,
    pub(super) doubled: f64,
    /// So late at most, ms.
    pub(super) late: f64,
}

/// Senders before one gate, each with calls that wait; and every turn that was used.
pub(super) struct Tier {
    pub(super) draw: Draw,
    pub(super) gate: LimitId,
    pub(super) limit: f64,
    pub(super) wall: u64,
    pub(super) permits: Vec<PermitLedger>,
    /// Whether it runs, and how far its clock is off.
    pub(super) up: Vec<bool>,
    pub(super) off: Vec<i64>,
    pub(super) waiting: Vec<u32>,
    pub(super) weather: Weather,
    /// Which part each belongs to: notes pass within a part only.
    pub(super) part: Vec<usize>,
    pub(super) post: Vec<(u64, usize, usize, Vec<u8>)>,
    pub(super) used: BTreeMap<u64, (usize, Incarnation)>,
    /// When calls started.
    pub(super) calls: Vec<u64>,
}

impl Tier {
    pub(super) fn new(seed: u64, senders: usize, limit: f64, weather: Weather) -> Self {
        let permits = (0..senders).map(|n| PermitLedger::new(n, senders, Incarnation(1), DAWN)).collect();
        Self {
            draw: Draw(seed),
            gate: LimitId::of(7, None),
            limit,
            wall: DAWN,
            permits,
            up: vec![true; senders],
            off: vec![0; senders],
            waiting: vec![0; senders],
            weather,
            part: vec![0; senders],
            post: Vec::new(),
            used: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    pub(super) fn clock(&self, n: usize) -> u64 {
        self.wall.saturating_add_signed(self.off[n])
    }

    /// A process that has forgotten everything takes the place of the one before.
    pub(super) fn begin(&mut self, n: usize) {
        let incarnation = Incarnation(self.permits[n].incarnation.0 + 1);
        self.permits[n] = PermitLedger::new(n, self.permits.len(), incarnation, self.clock(n));
        self.up[n] = true;
    }

    pub(super) fn send(&mut self, from: usize, datagrams: impl IntoIterator<Item = OutgoingDatagram>) {
        for (to, body) in datagrams {
            for _ in 0..1 + usize::from(self.draw.unit() < self.weather.doubled) {
                let at = self.wall + 1 + (self.weather.late * self.draw.unit()) as u64;
                if self.draw.unit() >= self.weather.lost && self.part[from] == self.part[to] {
                    self.post.push((at, from, to, body.clone()));
                }
            }
        }
    }

    /// `load` messages a second come for all.
    pub(super) fn step(&mut self, load: f64) {
        self.wall += STEP;
        let senders = self.permits.len();
        let mut coming = load * STEP as f64 / 1_000.0;
        while coming > 0.0 {
            let to = self.draw.below(senders);
            self.waiting[to] += u32::from(self.draw.unit() < coming);
            coming -= 1.0;
        }
        let wall = self.wall;
        for (_, from, to, body) in self.post.extract_if(.., |note| note.0 <= wall).collect::<Vec<_>>() {
            if self.up[to] {
                // What comes too late, or twice, is dropped.
                let clock = self.clock(to);
                let _ = self.permits[to].hear(clock, from, &body);
            }
        }
        for n in (0..senders).filter(|n| self.up[*n]).collect::<Vec<_>>() {
            self.act(n);
        }
    }

    pub(super) fn act(&mut self, n: usize) {
        let (clock, limit, gate) = (self.clock(n), self.limit, self.gate);
        let datagrams = self.permits[n].deal(clock);
        self.send(n, datagrams);
        if self.permits[n].next_offer(clock - STEP) <= clock {
            let wanted = f64::from(self.waiting[n]);
            let own = Own { gate, limit, wanted, called: 0, refused: 0, failed: 0 };
            let datagram = self.permits[n].offer(clock, &[own]);
            self.send(n, datagram);
        }
        let who = (n, self.permits[n].incarnation);
        for turn in self.permits[n].turns(clock, gate, 1.0) {
            let mine = self.used.get(&turn.number) == Some(&who);
            if turn.from <= clock && self.waiting[n] > 0 && !mine {
                let before = self.used.insert(turn.number, who);
                assert_eq!(before, None, "turn {} used by {who:?}, too", turn.number);
                self.waiting[n] -= 1;
                self.calls.push(self.wall);
            }
        }
    }

    pub(super) fn run(&mut self, ms: u64, load: f64) -> usize {
        let before = self.calls.len();
        for _ in 0..ms / STEP {
            self.step(load);
        }
        self.calls.len() - before
    }

    /// The most calls in any span of so many ms.
    pub(super) fn most(&self, span: u64) -> usize {
        let calls = &self.calls;
        let from = |n: usize| calls.partition_point(|at| *at + span <= calls[n]);
        (0..calls.len()).map(|n| n + 1 - from(n)).max().unwrap_or(0)
    }

    pub(super) fn bound(&self, span: u64, clocks: u64) -> f64 {
        0.95 * self.limit * (span + VALID + 2 * clocks + STEP) as f64 / 1_000.0 + 1.0
    }
}
