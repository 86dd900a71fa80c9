//! A fleet in simulated time from a seed: the messages of each sender, the datagrams, and the truth.
#![allow(dead_code, reason = "each test uses a part of the simulation")]

pub mod traffic;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rudderspindle_clock::UnixMillis;
use rudderspindle_heavy_hitters::{HeavyHitters, Incarnation, Key, SenderId, Settings, Slice};

/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 10;
/// Minimum time that a datagram is in flight, in milliseconds.
const MIN_FLIGHT_MS: u64 = 5;
/// Maximum additional time that a datagram is in flight, in milliseconds.
const FLIGHT_SPREAD_MS: u64 = 55;
/// Start of the simulation, in milliseconds since the Unix epoch: the start of a slice of 2 s.
pub const BEGIN_MS: u64 = 1_700_000_000_000;
/// Datagrams that are recorded for a replay: a minute's worth.
const MAX_RECORDED: usize = 20_000;

/// The number of a digest in a message's first byte.
pub const DIGEST: u8 = 0;
/// The number of a summary in a message's first byte.
pub const SUMMARY: u8 = 1;

/// A datagram in flight or delivered.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub from: SenderId,
    pub to: SenderId,
    pub body: Vec<u8>,
}

/// The order in which datagrams arrive: by time, then in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at_ms: u64,
    number: u64,
}

pub struct Simulation {
    pub now_ms: u64,
    pub settings: Settings,
    pub senders: Vec<HeavyHitters>,
    /// Fraction of the datagrams that is lost.
    pub loss: f64,
    /// Partitioned senders.
    pub isolated: BTreeSet<SenderId>,
    /// Messages accepted, by slice and stream.
    pub truth: BTreeMap<Slice, BTreeMap<Key, u64>>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    /// Datagrams that arrived, for a replay.
    pub delivered: Vec<Datagram>,
    in_flight: BTreeMap<Arrival, Datagram>,
    next_poll: Vec<UnixMillis>,
    rng: ChaCha8Rng,
}

impl Simulation {
    pub fn new(seed: u64, sender_count: usize, settings: Settings, begin_ms: u64) -> Self {
        let begin = UnixMillis(begin_ms);
        let start = |index| {
            HeavyHitters::new(settings, SenderId(index), sender_count, Incarnation(1), begin, true)
                .expect("the settings are valid")
        };
        Self {
            now_ms: begin_ms,
            settings,
            senders: (0..sender_count).map(start).collect(),
            loss: 0.0,
            isolated: BTreeSet::new(),
            truth: BTreeMap::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            delivered: Vec::new(),
            in_flight: BTreeMap::new(),
            next_poll: vec![begin; sender_count],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn now(&self) -> UnixMillis {
        UnixMillis(self.now_ms)
    }

    /// The slice that is open.
    pub fn current_slice(&self) -> Slice {
        Slice::containing(self.now(), self.settings.slice_ms())
    }

    /// A draw from 0 to 1.
    pub fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// A sender accepts a message.
    pub fn accept(&mut self, sender: usize, stream: Key, idempotency_key: Option<Key>) {
        let now = self.now();
        self.senders[sender].record(now, stream, idempotency_key);
        let slice = self.truth.entry(self.current_slice()).or_default();
        *slice.entry(stream).or_default() += 1;
    }

    /// Restarts a sender without the counts of its earlier process.
    pub fn restart(&mut self, sender: usize, incarnation: u64) {
        let (count, now) = (self.senders.len(), self.now());
        let incarnation = Incarnation(incarnation);
        self.senders[sender] =
            HeavyHitters::new(self.settings, SenderId(sender), count, incarnation, now, false)
                .expect("the settings are valid");
    }

    /// Sends a datagram, which may be lost.
    pub fn send(&mut self, datagram: Datagram) {
        self.datagrams_sent += 1;
        self.bytes_sent += datagram.body.len() as u64;
        let at_ms = self.now_ms + MIN_FLIGHT_MS + u64::from(self.rng.next_u32()) % FLIGHT_SPREAD_MS;
        let isolated = self.isolated.contains(&datagram.from) || self.isolated.contains(&datagram.to);
        if self.chance() >= self.loss && !isolated {
            self.in_flight.insert(Arrival { at_ms, number: self.datagrams_sent }, datagram);
        }
    }

    /// One step: accepted messages, then arriving datagrams, then due datagrams.
    pub fn step(&mut self, mut accept: impl FnMut(&mut Self)) {
        accept(self);
        self.deliver_arrived();
        self.poll_senders();
        let expired = self.delivered.len().saturating_sub(MAX_RECORDED);
        self.delivered.drain(..expired);
        self.now_ms += STEP_MS;
    }

    fn deliver_arrived(&mut self) {
        let now = self.now();
        let later = self.in_flight.split_off(&Arrival { at_ms: self.now_ms + 1, number: 0 });
        for datagram in std::mem::replace(&mut self.in_flight, later).into_values() {
            // Rejected datagrams are ignored; intervals must contain the truth nevertheless.
            let _ = self.senders[datagram.to.0].receive(now, datagram.from, &datagram.body);
            self.delivered.push(datagram);
        }
    }

    fn poll_senders(&mut self) {
        let now = self.now();
        for index in 0..self.senders.len() {
            if self.next_poll[index] <= now {
                for outgoing in self.senders[index].poll_datagrams(now) {
                    self.send(Datagram { from: SenderId(index), to: outgoing.to, body: outgoing.body });
                }
                self.next_poll[index] = self.senders[index].next_poll_at(now);
            }
        }
    }

    pub fn run(&mut self, duration_ms: u64, mut accept: impl FnMut(&mut Self)) {
        for _ in 0..duration_ms / STEP_MS {
            self.step(&mut accept);
        }
    }

    /// Number of messages accepted within some slices, by stream.
    pub fn accepted_in(&self, slices: Range<Slice>) -> BTreeMap<Key, u64> {
        let mut totals = BTreeMap::new();
        for (key, count) in self.truth.range(slices).flat_map(|(_, slice)| slice) {
            *totals.entry(*key).or_default() += count;
        }
        totals
    }

    /// Checks that all intervals of all views contain the truth; returns the number of views.
    pub fn check_views(&self) -> usize {
        let mut checked = 0;
        for (index, sender) in self.senders.iter().enumerate() {
            let Some(view) = sender.view() else { continue };
            let truth = self.accepted_in(view.slices());
            let all = truth.values().sum();
            let messages = view.messages();
            assert!(messages.contains(all), "{index}: {all} accepted, {messages:?} by {view:?}");
            for (key, count) in &truth {
                let interval = view.stream(*key);
                assert!(interval.contains(*count), "{index}: {count} of {interval:?} by {view:?}");
            }
            for total in view.streams() {
                let count = truth.get(&total.key).copied().unwrap_or(0);
                let interval = view.stream(total.key);
                assert!(interval.contains(count), "{index}: {count} of {total:?} by {view:?}");
            }
            checked += 1;
        }
        checked
    }

    /// Number of senders for which a stream is hot.
    pub fn count_finding(&self, stream: Key) -> usize {
        self.senders.iter().filter(|sender| sender.is_hot(stream)).count()
    }
}
