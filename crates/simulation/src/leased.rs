//! Compares two ways to keep a fleet under a limit, without policies: permits that are given up before the datagram
//! leaves, and quotas by sums under a lease.
//!
//! Only the permits ship; the quotas are here to show why.

mod leased_quota;
mod network;

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{Incarnation, LimitId, LocalDemand, PermitLedger};

use crate::partner::Draw;
use leased_quota::LeasedQuota;
use network::{LossyNetwork, Outgoing};

/// A tick of the simulation, ms.
const TICK: u64 = 5;
/// Wall clock at the start of a simulation, ms since 1970.
const START_WALL: u64 = 1_700_000_000_000;
/// How long a simulation lasts, ms.
const DURATION: u64 = 60_000;
/// How long a message waits for its call before it is given up, ms.
const MESSAGE_TTL: u64 = 4_000;
/// How often the busy senders change, ms.
const BUSY_PERIOD: u64 = 1_500;
/// The busy senders' share of the fleet.
const BUSY_SENDERS: f64 = 1.0 / 3.0;
/// The share of the messages that comes to the busy senders alone.
const BUSY_TRAFFIC: f64 = 0.9;
/// Distinguishes the network's random draws from those of the traffic.
const NETWORK_SEED: u64 = 0x9057;

/// What one scheme came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Calls in the worst second over the limit.
    pub worst_second: f64,
    /// Calls over what could be called: all messages, at most the limit.
    pub used: f64,
}

/// What both schemes came to in the same conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Permits, each held by one sender at a time.
    pub permits: Figures,
    /// Quotas by sums, under a lease.
    pub leased_quotas: Figures,
}

/// The conditions that both schemes are compared in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Senders of the fleet.
    pub senders: usize,
    /// Calls a second of the whole fleet.
    pub limit: f64,
    /// Messages over the limit.
    pub load: f64,
    /// Share of the datagrams that are lost, from 0 to 1.
    pub lost: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// One sender's part of the limit.
trait LimitShare {
    /// A message to another sender.
    type Datagram;

    /// Datagrams to send, given the calls that this sender wants; called every [`TICK`].
    fn send(&mut self, wall: u64, demand: f64) -> Vec<Outgoing<Self::Datagram>>;

    /// Handles a datagram.
    fn receive(&mut self, wall: u64, from: usize, datagram: Self::Datagram);

    /// Takes the right to one call, if there is one.
    fn try_call(&mut self, wall: u64) -> bool;
}

/// A sender that calls by permits.
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
        let wall = UnixMillis(wall);
        let mut datagrams = self.permits.allocate(wall);
        if self.permits.next_offer(wall - TICK) <= wall {
            let demand = LocalDemand {
                limit_id: self.limit_id,
                limit: self.limit,
                demand,
                calls: 0,
                rejected: 0,
                failed: 0,
            };
            datagrams.extend(self.permits.offer(wall, &[demand]));
        }
        let outgoing = datagrams.into_iter();
        outgoing.map(|datagram| Outgoing { to: datagram.to, datagram: datagram.bytes }).collect()
    }

    fn receive(&mut self, wall: u64, from: usize, datagram: Vec<u8>) {
        // A datagram that comes too late is an error and has no effect, as in the real fleet.
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

fn run<S: LimitShare>(conditions: &Conditions, mut shares: Vec<S>) -> Figures {
    let mut traffic = Traffic::new(conditions);
    let mut network = LossyNetwork::new(conditions.lost, conditions.seed ^ NETWORK_SEED);
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
    figures(conditions.limit, traffic.messages, &calls)
}

fn simulated_time() -> Range<u64> {
    START_WALL..START_WALL + DURATION
}

/// Messages that come to the fleet, most of them to a third of the senders that changes again and again.
struct Traffic {
    rng: Draw,
    senders: usize,
    /// Mean number of messages in a tick.
    per_tick: f64,
    first_busy: usize,
    /// Messages so far.
    messages: f64,
}

impl Traffic {
    fn new(conditions: &Conditions) -> Self {
        Self {
            rng: Draw::new(conditions.seed),
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

/// Figures of calls in order of time.
fn figures(limit: f64, messages: f64, calls: &[u64]) -> Figures {
    let a_second_before = |n: usize| calls.partition_point(|at| at + 1_000 <= calls[n]);
    let worst = (0..calls.len()).map(|n| n + 1 - a_second_before(n)).max().unwrap_or(0);
    let possible = f64::min(messages, limit * DURATION as f64 / 1_000.0);
    Figures { worst_second: worst as f64 / limit, used: calls.len() as f64 / possible.max(1.0) }
}
