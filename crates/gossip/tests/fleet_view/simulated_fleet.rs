//! Fleet views of many senders over a simulated network with simulated clocks; runs are reproducible from a seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    DatagramBudget, DatagramClass, EPOCH_LENGTH, FleetView, Incarnation, Kind, LocalSender, OutgoingDatagram,
};

/// Maximum rate at which one sender accepts messages, in messages per second.
pub const MAX_MESSAGES_PER_SECOND: u32 = 100;
/// Simulated time at which each simulation starts.
pub const START: UnixMillis = UnixMillis(1_700_000_000_000);
/// Length of a simulation step, in milliseconds.
const STEP: u64 = 50;
/// Maximum number of sent datagrams that are stored for replay.
const MAX_LOG_LEN: usize = 4_000;
/// Minimum age of replayed datagrams, in milliseconds.
const MIN_REPLAY_AGE: u64 = 60_000;
/// Maximum delay of a datagram, in milliseconds.
const MAX_DELAY: u64 = 150;

/// A sender's process, and its stored state.
pub struct Sender {
    pub view: FleetView,
    budget: DatagramBudget,
    stored_incarnation: Option<Incarnation>,
    /// Offset of the sender's clock from simulated time, in milliseconds.
    pub clock_offset: i64,
}

impl Sender {
    fn new(local: LocalSender, zones: &[u16], clock_offset: i64) -> Self {
        Self {
            view: FleetView::new(local, zones.to_vec()).expect("a sender of the fleet"),
            budget: report_budget(),
            stored_incarnation: Some(local.incarnation),
            clock_offset,
        }
    }
}

/// A datagram in flight or in the log.
#[derive(Clone)]
struct Transmission {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// When a datagram arrives. The random `tie_breaker` distinguishes datagrams that arrive at the same time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    time: UnixMillis,
    tie_breaker: u64,
}

/// A fleet with its network, and the true number of messages that it accepted.
pub struct SimulatedFleet {
    pub now: UnixMillis,
    pub senders: Vec<Sender>,
    zones: Vec<u16>,
    /// Probability that a datagram is lost.
    pub loss_probability: f64,
    /// Probability that a datagram is duplicated.
    pub duplication_probability: f64,
    /// Probability that an old datagram is replayed in a step.
    pub replay_probability: f64,
    /// Links on which all datagrams are lost, as pairs of the sending and the receiving sender's number.
    pub partitions: BTreeSet<(usize, usize)>,
    in_flight: BTreeMap<Arrival, Transmission>,
    /// Sent datagrams that may be replayed, each with the time at which it was sent, oldest first.
    log: VecDeque<(UnixMillis, Transmission)>,
    /// True number of messages that the fleet accepted, by epoch and tenant. The epoch is that of the accepting sender's
    /// clock.
    pub accepted_by_tenant: BTreeMap<(u64, u16), u64>,
    /// Number of accepted messages, by sender and epoch.
    accepted_by_sender: BTreeMap<(usize, u64), u32>,
    /// Number of sent datagrams, by sender and second.
    pub sent_datagrams: BTreeMap<(usize, u64), u64>,
    seed: u64,
}

/// A budget for reports only. Each report costs two datagrams, because its receiver responds with a summary.
pub fn report_budget() -> DatagramBudget {
    DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }])
}

fn local_sender(number: usize, incarnation: Incarnation) -> LocalSender {
    LocalSender {
        number,
        incarnation,
        complete_from: UnixMillis(incarnation.0),
        max_messages_per_second: MAX_MESSAGES_PER_SECOND,
    }
}

impl SimulatedFleet {
    pub fn new(zones: &[u16], seed: u64) -> Self {
        let incarnation = Incarnation(START.0 - 10_000);
        let sender = |number| Sender::new(local_sender(number, incarnation), zones, 0);
        Self {
            now: START,
            senders: (0..zones.len()).map(sender).collect(),
            zones: zones.to_vec(),
            loss_probability: 0.0,
            duplication_probability: 0.0,
            replay_probability: 0.0,
            partitions: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            log: VecDeque::new(),
            accepted_by_tenant: BTreeMap::new(),
            accepted_by_sender: BTreeMap::new(),
            sent_datagrams: BTreeMap::new(),
            seed,
        }
    }

    /// Returns a pseudorandom number (SplitMix64).
    pub fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        ((self.random() >> 11) as f64 / (1_u64 << 53) as f64) < probability
    }

    /// Milliseconds since the simulation started.
    pub fn elapsed(&self) -> u64 {
        self.now.millis_since(START)
    }

    /// The time of a sender's own clock.
    pub fn clock(&self, sender: usize) -> UnixMillis {
        UnixMillis(self.now.0.saturating_add_signed(self.senders[sender].clock_offset))
    }

    /// Lets a sender accept a message, unless it has accepted the maximum for the current epoch.
    pub fn accept_message(&mut self, sender: usize, tenant: u16) {
        let clock = self.clock(sender);
        let epoch = clock.0 / EPOCH_LENGTH;
        let accepted = self.accepted_by_sender.entry((sender, epoch)).or_default();
        if *accepted < MAX_MESSAGES_PER_SECOND {
            *accepted += 1;
            *self.accepted_by_tenant.entry((epoch, tenant)).or_default() += 1;
            self.senders[sender].view.record_message(clock, tenant);
        }
    }

    /// Kills a sender and restarts it immediately, with its state folder or with an empty state folder.
    pub fn restart(&mut self, sender: usize, keeps_state_folder: bool) {
        let clock = self.clock(sender);
        let stored = self.senders[sender].stored_incarnation.filter(|_| keeps_state_folder);
        let local = local_sender(sender, Incarnation::next(stored, clock));
        let clock_offset = self.senders[sender].clock_offset;
        self.senders[sender] = Sender::new(local, &self.zones, clock_offset);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 256, "{} bytes", bytes.len());
        *self.sent_datagrams.entry((from, self.now.0 / 1_000)).or_default() += 1;
        let transmission = Transmission { from, to, bytes };
        let copies = if self.chance(self.duplication_probability) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.chance(self.loss_probability) && !self.partitions.contains(&(from, to)) {
                let time = self.now + 1 + self.random() % MAX_DELAY;
                let tie_breaker = self.random();
                self.in_flight.insert(Arrival { time, tie_breaker }, transmission.clone());
            }
        }
        self.log.push_back((self.now, transmission));
        if self.log.len() > MAX_LOG_LEN {
            self.log.pop_front();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.replay_oldest();
        for sender in 0..self.senders.len() {
            self.send_due_datagrams(sender);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().time <= self.now) {
            let Transmission { from, to, bytes } = entry.remove();
            let clock = self.clock(to);
            // A datagram that the view drops must not affect its state; the tests check that by the usage intervals.
            let _ = self.senders[to].view.receive(clock, from, &bytes);
        }
    }

    /// Replays the oldest logged datagram with the probability `replay_probability`, if it is old enough.
    fn replay_oldest(&mut self) {
        let is_replay_due = self.chance(self.replay_probability);
        let oldest =
            self.log.front().filter(|(sent_at, _)| is_replay_due && *sent_at + MIN_REPLAY_AGE <= self.now);
        if let Some((_, transmission)) = oldest.cloned() {
            self.log.pop_front();
            self.in_flight.insert(Arrival { time: self.now, tie_breaker: 0 }, transmission);
        }
    }

    fn send_due_datagrams(&mut self, number: usize) {
        let clock = self.clock(number);
        let sender = &mut self.senders[number];
        for OutgoingDatagram { to, bytes } in sender.view.due_datagrams(clock, &mut sender.budget) {
            self.send(number, to, bytes);
        }
    }

    /// Simulates `duration_ms` milliseconds; calls `before_step` before each step.
    pub fn run(&mut self, duration_ms: u64, mut before_step: impl FnMut(&mut Self)) {
        for _ in 0..duration_ms / STEP {
            before_step(self);
            self.step();
        }
    }
}
