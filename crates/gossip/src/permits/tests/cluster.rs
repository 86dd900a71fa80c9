//! A cluster of senders at one limit in simulated time, with faults of the network, the processes and the clocks.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::demand_exchange::LocalDemand;
use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use crate::outgoing_datagram::OutgoingDatagram;
use crate::permits::PermitLedger;
use crate::permits::rounds::PERMIT_VALIDITY;

/// A seeded random generator for tests.
pub(super) struct TestRng(pub(super) u64);

impl TestRng {
    /// A random number from 0 to 1.
    pub(super) fn unit(&mut self) -> f64 {
        // A 64-bit linear congruential generator (Knuth), of which the upper bits are used.
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random integer below `bound`.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }
}

/// The wall clock when a test starts.
pub(super) const START: UnixMillis = UnixMillis(1_700_000_000_000);
/// Step of simulated time, in milliseconds.
pub(super) const STEP: u64 = 10;

/// Faults of the network.
#[derive(Clone, Copy, Default)]
pub(super) struct NetworkFaults {
    /// Fraction of the datagrams that are lost, from 0 to 1.
    pub(super) loss_rate: f64,
    /// Fraction of the datagrams that are sent twice, from 0 to 1.
    pub(super) duplication_rate: f64,
    /// Maximum delay, in milliseconds.
    pub(super) max_delay: f64,
}

/// A datagram in flight.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) arrives_at: UnixMillis,
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) bytes: Vec<u8>,
}

/// Senders at one limit, each with a queue of calls, and the permits that they used.
pub(super) struct Cluster {
    pub(super) rng: TestRng,
    limit_id: LimitId,
    limit: f64,
    pub(super) now: UnixMillis,
    pub(super) ledgers: Vec<PermitLedger>,
    /// Whether the process of each sender is running.
    pub(super) running: Vec<bool>,
    /// Offset of each sender's clock, in milliseconds.
    pub(super) clock_offset: Vec<i64>,
    /// Number of queued calls at each sender.
    pub(super) queued: Vec<u32>,
    faults: NetworkFaults,
    /// The partition of each sender; datagrams are delivered only within a partition.
    pub(super) partition: Vec<usize>,
    pub(super) in_flight: Vec<InFlight>,
    /// The process that used each permit.
    used_permits: BTreeMap<u64, (usize, Incarnation)>,
    /// When each call was started.
    call_times: Vec<UnixMillis>,
}

impl Cluster {
    pub(super) fn new(seed: u64, sender_count: usize, limit: f64, faults: NetworkFaults) -> Self {
        let ledger = |sender| PermitLedger::new(sender, sender_count, Incarnation(1), START);
        Self {
            rng: TestRng(seed),
            limit_id: LimitId::of(7, None),
            limit,
            now: START,
            ledgers: (0..sender_count).map(ledger).collect(),
            running: vec![true; sender_count],
            clock_offset: vec![0; sender_count],
            queued: vec![0; sender_count],
            faults,
            partition: vec![0; sender_count],
            in_flight: Vec::new(),
            used_permits: BTreeMap::new(),
            call_times: Vec::new(),
        }
    }

    fn clock(&self, sender: usize) -> UnixMillis {
        UnixMillis(self.now.0.saturating_add_signed(self.clock_offset[sender]))
    }

    /// Replaces a sender's process with a new process without state.
    pub(super) fn restart(&mut self, sender: usize) {
        let incarnation = Incarnation(self.ledgers[sender].incarnation.0 + 1);
        self.ledgers[sender] = PermitLedger::new(sender, self.ledgers.len(), incarnation, self.clock(sender));
        self.running[sender] = true;
    }

    fn send(&mut self, from: usize, datagrams: impl IntoIterator<Item = OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            for _ in 0..1 + usize::from(self.rng.unit() < self.faults.duplication_rate) {
                let arrives_at = self.now + 1 + (self.faults.max_delay * self.rng.unit()) as u64;
                if self.rng.unit() >= self.faults.loss_rate && self.partition[from] == self.partition[to] {
                    self.in_flight.push(InFlight { arrives_at, from, to, bytes: bytes.clone() });
                }
            }
        }
    }

    /// Advances the time by [`STEP`]; `load` calls a second are queued at random senders, for all senders together.
    fn step(&mut self, load: f64) {
        self.now += STEP;
        self.add_arrivals(load);
        self.deliver_datagrams();
        let running: Vec<usize> = (0..self.ledgers.len()).filter(|sender| self.running[*sender]).collect();
        for sender in running {
            self.run_sender(sender);
        }
    }

    /// Queues the calls that arrive in one step, each at a random sender.
    fn add_arrivals(&mut self, load: f64) {
        let mut expected_arrivals = load * STEP as f64 / 1_000.0;
        while expected_arrivals > 0.0 {
            let to = self.rng.below(self.ledgers.len());
            self.queued[to] += u32::from(self.rng.unit() < expected_arrivals);
            expected_arrivals -= 1.0;
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        let due: Vec<InFlight> =
            self.in_flight.extract_if(.., |datagram| datagram.arrives_at <= now).collect();
        for InFlight { from, to, bytes, .. } in due {
            if self.running[to] {
                let clock = self.clock(to);
                // Late and duplicate messages are dropped.
                let _ = self.ledgers[to].receive(clock, from, &bytes);
            }
        }
    }

    fn run_sender(&mut self, sender: usize) {
        let clock = self.clock(sender);
        let grants = self.ledgers[sender].allocate(clock);
        self.send(sender, grants);
        if self.ledgers[sender].next_offer(clock - STEP) <= clock {
            let demand = LocalDemand {
                limit_id: self.limit_id,
                limit: self.limit,
                demand: f64::from(self.queued[sender]),
                calls: 0,
                rejected: 0,
                failed: 0,
            };
            let offer = self.ledgers[sender].offer(clock, &[demand]);
            self.send(sender, offer);
        }
        self.use_permits(sender, clock);
    }

    fn use_permits(&mut self, sender: usize, clock: UnixMillis) {
        let process = (sender, self.ledgers[sender].incarnation);
        for permit in self.ledgers[sender].permits(clock, self.limit_id, 1.0) {
            let is_already_used = self.used_permits.get(&permit.number) == Some(&process);
            if permit.from <= clock && self.queued[sender] > 0 && !is_already_used {
                let other_process = self.used_permits.insert(permit.number, process);
                assert_eq!(other_process, None, "permit {} is also used by {process:?}", permit.number);
                self.queued[sender] -= 1;
                self.call_times.push(self.now);
            }
        }
    }

    /// Runs for `duration` milliseconds with `load` calls a second. Returns the number of started calls.
    pub(super) fn run(&mut self, duration: u64, load: f64) -> usize {
        let calls_before = self.call_times.len();
        for _ in 0..duration / STEP {
            self.step(load);
        }
        self.call_times.len() - calls_before
    }

    /// Maximum number of calls in any span of `span` milliseconds.
    pub(super) fn max_calls_within(&self, span: u64) -> usize {
        let calls = &self.call_times;
        let first_within_span =
            |index: usize| calls.partition_point(|started_at| *started_at + span <= calls[index]);
        (0..calls.len()).map(|index| index + 1 - first_within_span(index)).max().unwrap_or(0)
    }

    /// The bound on calls within `span` if the clocks differ by at most `clock_skew`; both are in milliseconds.
    pub(super) fn allowed_calls_within(&self, span: u64, clock_skew: u64) -> f64 {
        0.95 * self.limit * (span + PERMIT_VALIDITY + 2 * clock_skew + STEP) as f64 / 1_000.0 + 1.0
    }
}
