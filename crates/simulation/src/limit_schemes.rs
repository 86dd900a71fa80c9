//! Compares two schemes that keep a fleet under a limit, without policies: permits that are released before they are
//! offered, and leased quotas computed from the fleet's summed demand.
//!
//! Only the permits ship; the quotas serve for comparison.

mod leased_quota;
mod lossy_network;

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{Incarnation, LimitId, LocalDemand, PermitLedger};

use crate::SeededRng;
use crate::permit_datagrams::due_permit_datagrams;
use leased_quota::LeasedQuota;
use lossy_network::{LossyNetwork, Outgoing};

/// A tick of the simulation, ms.
const TICK: u64 = 5;
/// Wall clock at the start of a simulation, ms since 1970.
const START_WALL: u64 = 1_700_000_000_000;
/// Duration of a simulation, ms.
const DURATION: u64 = 60_000;
/// Time after which a message without a call is dropped, ms.
const MESSAGE_TTL: u64 = 4_000;
/// How often the busy senders change, ms.
const BUSY_PERIOD: u64 = 1_500;
/// The busy senders' share of the fleet.
const BUSY_SENDERS: f64 = 1.0 / 3.0;
/// The share of the messages that is submitted to the busy senders only.
const BUSY_TRAFFIC: f64 = 0.9;
/// Distinguishes the network's random draws from those of the traffic.
const NETWORK_SEED: u64 = 0x9057;

/// Metrics of one scheme.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchemeMetrics {
    /// Maximum number of calls within a second, over the limit.
    pub peak_second: f64,
    /// Calls over the possible ones: a call for each message, at most the limit.
    pub utilization: f64,
}

/// Metrics of both schemes in the same conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Permits.
    pub permits: SchemeMetrics,
    /// Leased quotas.
    pub leased_quotas: SchemeMetrics,
}

/// The conditions of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Number of senders.
    pub senders: usize,
    /// Maximum rate of the whole fleet, calls a second.
    pub limit: f64,
    /// Messages submitted over the limit.
    pub load: f64,
    /// Share of the datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// One sender's part of the limit.
trait LimitShare {
    /// A message to another sender.
    type Datagram;

    /// Datagrams to send, given this sender's demand in calls; called every [`TICK`].
    fn send(&mut self, wall: u64, demand: f64) -> Vec<Outgoing<Self::Datagram>>;

    /// Handles a datagram.
    fn receive(&mut self, wall: u64, from: usize, datagram: Self::Datagram);

    /// Uses the permission to start one call, if there is one.
    fn try_call(&mut self, wall: u64) -> bool;
}

/// A sender whose calls need permits.
struct PermitHolder {
    permits: PermitLedger,
    limit_id: LimitId,
    limit: f64,
    /// When each used permit expires, by its number.
    used: BTreeMap<u64, UnixMillis>,
}

impl LimitShare for PermitHolder {
    type Datagram = Vec<u8>;

    fn send(&mut self, wall: u64, demand: f64) -> Vec<Outgoing<Vec<u8>>> {
        let Self { limit_id, limit, .. } = *self;
        let local_demand = LocalDemand { limit_id, limit, demand, calls: 0, rejected: 0, failed: 0 };
        let due = due_permit_datagrams(&mut self.permits, UnixMillis(wall), TICK, || vec![local_demand]);
        let outgoing = due.datagrams.into_iter();
        outgoing.map(|datagram| Outgoing { to: datagram.to, datagram: datagram.bytes }).collect()
    }

    fn receive(&mut self, wall: u64, from: usize, datagram: Vec<u8>) {
        // A datagram that arrives too late is an error without effect, as in the sender's process.
        let _ = self.permits.receive(UnixMillis(wall), from, &datagram);
    }

    fn try_call(&mut self, wall: u64) -> bool {
        let wall = UnixMillis(wall);
        self.used.retain(|_, until| *until > wall);
        let permits = self.permits.permits(wall, self.limit_id, 1.0);
        let unused =
            permits.iter().find(|permit| permit.from <= wall && !self.used.contains_key(&permit.number));
        unused.is_some_and(|permit| self.used.insert(permit.number, permit.until).is_none())
    }
}

/// Runs both schemes in the same conditions.
pub fn compare(conditions: &Conditions) -> Comparison {
    let Conditions { senders, limit, .. } = *conditions;
    let permit_holder = |sender| PermitHolder {
        permits: PermitLedger::new(sender, senders, Incarnation(1), UnixMillis(START_WALL)),
        limit_id: LimitId::of(0, None),
        limit,
        used: BTreeMap::new(),
    };
    let leased_quota = |sender| LeasedQuota::new(sender, senders, limit);
    Comparison {
        permits: run(conditions, (0..senders).map(permit_holder).collect()),
        leased_quotas: run(conditions, (0..senders).map(leased_quota).collect()),
    }
}

fn run<S: LimitShare>(conditions: &Conditions, mut shares: Vec<S>) -> SchemeMetrics {
    let mut traffic = Traffic::new(conditions);
    let mut network = LossyNetwork::new(conditions.loss, conditions.seed ^ NETWORK_SEED);
    let mut waiting = vec![VecDeque::new(); shares.len()];
    let mut calls = Vec::new();
    for wall in simulated_time().step_by(TICK as usize) {
        traffic.arrive(wall, &mut waiting);
        for delivery in network.arrived(wall) {
            shares[delivery.to].receive(wall, delivery.from, delivery.datagram);
        }
        for (sender, (share, waiting)) in shares.iter_mut().zip(&mut waiting).enumerate() {
            waiting.retain(|submitted_at| submitted_at + MESSAGE_TTL > wall);
            for outgoing in share.send(wall, waiting.len() as f64) {
                network.send(wall, sender, outgoing);
            }
            while !waiting.is_empty() && share.try_call(wall) {
                waiting.pop_front();
                calls.push(wall);
            }
        }
    }
    metrics(conditions.limit, traffic.messages, &calls)
}

fn simulated_time() -> Range<u64> {
    START_WALL..START_WALL + DURATION
}

/// Messages submitted to the fleet, most of them to a third of the senders that changes every [`BUSY_PERIOD`].
struct Traffic {
    rng: SeededRng,
    senders: usize,
    /// Mean number of messages in a tick.
    per_tick: f64,
    first_busy: usize,
    /// Number of messages submitted.
    messages: f64,
}

impl Traffic {
    fn new(conditions: &Conditions) -> Self {
        Self {
            rng: SeededRng::new(conditions.seed),
            senders: conditions.senders,
            per_tick: conditions.load * conditions.limit * TICK as f64 / 1_000.0,
            first_busy: 0,
            messages: 0.0,
        }
    }

    fn arrive(&mut self, wall: u64, waiting: &mut [VecDeque<u64>]) {
        if wall % BUSY_PERIOD < TICK {
            self.first_busy = (self.rng.unit() * self.senders as f64) as usize;
        }
        let mut expected = self.per_tick;
        while expected > 0.0 {
            let to = self.draw_sender();
            if self.rng.unit() < expected {
                waiting[to].push_back(wall);
                self.messages += 1.0;
            }
            expected -= 1.0;
        }
    }

    fn draw_sender(&mut self) -> usize {
        let part = if self.rng.unit() < BUSY_TRAFFIC { BUSY_SENDERS } else { 1.0 };
        let offset = (self.rng.unit() * part * self.senders as f64) as usize;
        (self.first_busy + offset) % self.senders
    }
}

/// Metrics of calls in chronological order.
fn metrics(limit: f64, messages: f64, calls: &[u64]) -> SchemeMetrics {
    let a_second_before = |n: usize| calls.partition_point(|at| at + 1_000 <= calls[n]);
    let peak = (0..calls.len()).map(|n| n + 1 - a_second_before(n)).max().unwrap_or(0);
    let possible = f64::min(messages, limit * DURATION as f64 / 1_000.0);
    SchemeMetrics { peak_second: peak as f64 / limit, utilization: calls.len() as f64 / possible.max(1.0) }
}
