//! Simulates a fleet in simulated time from a seed: the messages that senders accept, their datagrams, and the
//! true counts.
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
/// Minimum transit time of a datagram, in milliseconds.
const MIN_TRANSIT_MS: u64 = 5;
/// Range of the random time added to the minimum transit time of a datagram, in milliseconds.
const TRANSIT_SPREAD_MS: u64 = 55;
/// Start of the simulation, in milliseconds since the Unix epoch: the start of a slice of 2 s.
pub const BEGIN_MS: u64 = 1_700_000_000_000;
/// Maximum number of delivered datagrams that are stored for a replay: those of about a minute.
const MAX_STORED_DATAGRAMS: usize = 20_000;

/// The first byte of an encoded digest.
pub const DIGEST_KIND: u8 = 0;
/// The first byte of an encoded summary.
pub const SUMMARY_KIND: u8 = 1;

/// A datagram in flight or delivered.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub from: SenderId,
    pub to: SenderId,
    pub body: Vec<u8>,
}

/// The order in which datagrams arrive: by arrival time, then in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at_ms: u64,
    send_number: u64,
}

/// A fleet of senders that exchange datagrams over a simulated network.
pub struct Simulation {
    pub now_ms: u64,
    pub settings: Settings,
    pub senders: Vec<HeavyHitters>,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss_probability: f64,
    /// Senders whose datagrams are all lost, in both directions.
    pub isolated_senders: BTreeSet<SenderId>,
    /// True number of messages accepted by all senders, by slice and stream.
    pub true_counts: BTreeMap<Slice, BTreeMap<Key, u64>>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    /// Datagrams that arrived, including rejected ones, for a replay.
    pub delivered: Vec<Datagram>,
    in_flight: BTreeMap<Arrival, Datagram>,
    next_poll_at: Vec<UnixMillis>,
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
            loss_probability: 0.0,
            isolated_senders: BTreeSet::new(),
            true_counts: BTreeMap::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            delivered: Vec::new(),
            in_flight: BTreeMap::new(),
            next_poll_at: vec![begin; sender_count],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn now(&self) -> UnixMillis {
        UnixMillis(self.now_ms)
    }

    /// The slice that is open at the simulated time.
    pub fn current_slice(&self) -> Slice {
        Slice::containing(self.now(), self.settings.slice_ms())
    }

    /// A uniformly distributed random number from 0 to 1, both inclusive.
    pub fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Lets a sender accept a message, and counts the message as accepted.
    pub fn accept(&mut self, sender: usize, stream: Key, idempotency_key: Option<Key>) {
        let now = self.now();
        self.senders[sender].record(now, stream, idempotency_key);
        let slice_counts = self.true_counts.entry(self.current_slice()).or_default();
        *slice_counts.entry(stream).or_default() += 1;
    }

    /// Restarts a sender without the counts of its earlier process.
    pub fn restart(&mut self, sender: usize, incarnation: u64) {
        let (sender_count, now) = (self.senders.len(), self.now());
        let incarnation = Incarnation(incarnation);
        self.senders[sender] =
            HeavyHitters::new(self.settings, SenderId(sender), sender_count, incarnation, now, false)
                .expect("the settings are valid");
    }

    /// Sends a datagram, which is lost with the loss probability, or if either end is isolated.
    pub fn send(&mut self, datagram: Datagram) {
        self.datagrams_sent += 1;
        self.bytes_sent += datagram.body.len() as u64;
        let at_ms = self.now_ms + MIN_TRANSIT_MS + u64::from(self.rng.next_u32()) % TRANSIT_SPREAD_MS;
        let is_isolated =
            self.isolated_senders.contains(&datagram.from) || self.isolated_senders.contains(&datagram.to);
        if self.random_fraction() >= self.loss_probability && !is_isolated {
            self.in_flight.insert(Arrival { at_ms, send_number: self.datagrams_sent }, datagram);
        }
    }

    /// Simulates one step: `accept` lets senders accept messages, then datagrams arrive, then due datagrams are sent.
    pub fn step(&mut self, mut accept: impl FnMut(&mut Self)) {
        accept(self);
        self.deliver_arrived();
        self.poll_senders();
        let excess = self.delivered.len().saturating_sub(MAX_STORED_DATAGRAMS);
        self.delivered.drain(..excess);
        self.now_ms += STEP_MS;
    }

    fn deliver_arrived(&mut self) {
        let now = self.now();
        let still_in_flight = self.in_flight.split_off(&Arrival { at_ms: self.now_ms + 1, send_number: 0 });
        for datagram in std::mem::replace(&mut self.in_flight, still_in_flight).into_values() {
            // Rejected datagrams are ignored because intervals must contain the true counts even then.
            let _ = self.senders[datagram.to.0].receive(now, datagram.from, &datagram.body);
            self.delivered.push(datagram);
        }
    }

    fn poll_senders(&mut self) {
        let now = self.now();
        for index in 0..self.senders.len() {
            if self.next_poll_at[index] <= now {
                for outgoing in self.senders[index].poll_datagrams(now) {
                    self.send(Datagram { from: SenderId(index), to: outgoing.to, body: outgoing.body });
                }
                self.next_poll_at[index] = self.senders[index].next_poll_at(now);
            }
        }
    }

    /// Simulates the steps of `duration_ms` milliseconds.
    pub fn run(&mut self, duration_ms: u64, mut accept: impl FnMut(&mut Self)) {
        for _ in 0..duration_ms / STEP_MS {
            self.step(&mut accept);
        }
    }

    /// True number of messages accepted within a range of slices, by stream.
    pub fn accepted_in(&self, slices: Range<Slice>) -> BTreeMap<Key, u64> {
        let mut totals = BTreeMap::new();
        for (key, count) in self.true_counts.range(slices).flat_map(|(_, slice_counts)| slice_counts) {
            *totals.entry(*key).or_default() += count;
        }
        totals
    }

    /// Checks that all intervals of all views contain the true counts; returns the number of views.
    pub fn check_views(&self) -> usize {
        let mut checked_views = 0;
        for (index, sender) in self.senders.iter().enumerate() {
            let Some(view) = sender.view() else { continue };
            let true_counts = self.accepted_in(view.slices());
            let true_total = true_counts.values().sum();
            let messages = view.message_bounds();
            assert!(
                messages.contains(true_total),
                "sender {index}: true total {true_total} is outside {messages:?} in {view:?}"
            );
            for (key, count) in &true_counts {
                let interval = view.stream_bounds(*key);
                assert!(
                    interval.contains(*count),
                    "sender {index}: true count {count} is outside {interval:?} in {view:?}"
                );
            }
            for total in view.streams() {
                let count = true_counts.get(&total.key).copied().unwrap_or(0);
                let interval = view.stream_bounds(total.key);
                assert!(
                    interval.contains(count),
                    "sender {index}: true count {count} is outside the interval of {total:?} in {view:?}"
                );
            }
            checked_views += 1;
        }
        checked_views
    }

    /// Number of senders for which a stream is hot.
    pub fn count_detecting_senders(&self, stream: Key) -> usize {
        self.senders.iter().filter(|sender| sender.is_hot(stream)).count()
    }
}
