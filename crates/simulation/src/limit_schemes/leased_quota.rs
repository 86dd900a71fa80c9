//! Leased quotas, computed from the fleet's summed demand.
//!
//! In each round the senders report their demand to an aggregator, which sends the sum to all; each then computes its
//! quota, a part of the limit. Invariant: a sender's quota is the smallest that it computed within a lease, or its minimum
//! without any. It decreases immediately, and increases when the smaller quotas have expired.

use std::collections::BTreeMap;

use super::lossy_network::Outgoing;
use super::{LimitShare, TICK};

/// Length of a round, ms.
const ROUND: u64 = 500;
/// How long a quota is valid after its round, ms.
const LEASE: u64 = 2_000;
/// The fraction of the limit that is allocated.
const ALLOCATED_FRACTION: f64 = 0.95;
/// A sender's minimum quota, as a fraction of an equal share.
const MIN_FRACTION: f64 = 0.5;
/// How long a call may start after it is due, ms.
const CALL_VALIDITY: u64 = 100;
/// Time from the start of a round to the first sender's report, ms.
const FIRST_REPORT: u64 = 100;
/// Time over which the senders' reports are spread, ms.
const REPORT_SPREAD: u64 = 300;
/// Distance between the aggregators of successive rounds; a prime, so that all senders take turns.
const AGGREGATOR_STRIDE: u64 = 7_919;

/// A datagram between senders.
pub(super) enum QuotaDatagram {
    /// A sender's demand, for the round's aggregator.
    Demand { round: u64, demand: f64 },
    /// The aggregator's sum.
    Sum(DemandSum),
}

/// The demand of several senders in one round.
#[derive(Clone, Copy)]
pub(super) struct DemandSum {
    round: u64,
    demand: f64,
    /// Number of senders that reported.
    senders: usize,
}

/// A sender's report.
struct Report {
    round: u64,
    demand: f64,
}

/// One sender's quota.
pub(super) struct LeasedQuota {
    me: usize,
    senders: usize,
    limit: f64,
    last_report: Report,
    /// Reports to this sender as the round's aggregator, by sender.
    reports: BTreeMap<usize, f64>,
    /// Calls a second, by the round of their computation.
    quotas: BTreeMap<u64, f64>,
    /// The integral of the quota, calls; a call is due when it passes an integer.
    phase: f64,
    /// When the last due call may start at the latest, ms.
    due_until: u64,
}

impl LeasedQuota {
    /// The quota of the sender with this index, before any round.
    pub fn new(me: usize, senders: usize, limit: f64) -> Self {
        Self {
            me,
            senders,
            limit,
            last_report: Report { round: 0, demand: 0.0 },
            reports: BTreeMap::new(),
            quotas: BTreeMap::new(),
            // Staggers the calls of senders with equal quotas.
            phase: me as f64 / senders as f64,
            due_until: 0,
        }
    }

    fn calls_per_second(&mut self, wall: u64) -> f64 {
        self.quotas.retain(|round, _| (round + 1) * ROUND + LEASE > wall);
        let minimum = MIN_FRACTION * ALLOCATED_FRACTION * self.limit / self.senders as f64;
        self.quotas.values().copied().reduce(f64::min).unwrap_or(minimum)
    }

    fn apply(&mut self, sum: DemandSum) {
        // In a partitioned fleet at most one side may allocate more than the minimum quotas.
        if self.last_report.round != sum.round || sum.senders * 2 <= self.senders {
            return;
        }
        let unreported = (self.senders - sum.senders) as f64 / self.senders as f64;
        let available = ALLOCATED_FRACTION * self.limit * (1.0 - unreported * MIN_FRACTION);
        self.quotas.insert(sum.round, available * self.last_report.demand / sum.demand);
    }

    /// As the last round's aggregator, sends the sum to those that reported.
    fn send_sum(&mut self, wall: u64, datagrams: &mut Vec<Outgoing<QuotaDatagram>>) {
        if wall % ROUND >= TICK || self.reports.is_empty() {
            return;
        }
        let reports = std::mem::take(&mut self.reports);
        let sum =
            DemandSum { round: wall / ROUND - 1, demand: reports.values().sum(), senders: reports.len() };
        self.apply(sum);
        let others = reports.into_keys().filter(|to| *to != self.me);
        datagrams.extend(others.map(|to| Outgoing { to, datagram: QuotaDatagram::Sum(sum) }));
    }

    /// Reports the demand once a round.
    fn report(&mut self, wall: u64, demand: f64, datagrams: &mut Vec<Outgoing<QuotaDatagram>>) {
        let round = wall / ROUND;
        let report_at = FIRST_REPORT + self.me as u64 * REPORT_SPREAD / self.senders as u64;
        if round <= self.last_report.round || wall % ROUND < report_at {
            return;
        }
        // One call more than the demand, so that a sender without demand has a quota for its next message.
        let demand = demand + 1.0;
        self.last_report = Report { round, demand };
        let aggregator = (round.wrapping_mul(AGGREGATOR_STRIDE) % self.senders as u64) as usize;
        if aggregator == self.me {
            self.reports.insert(self.me, demand);
        } else {
            let datagram = QuotaDatagram::Demand { round, demand };
            datagrams.push(Outgoing { to: aggregator, datagram });
        }
    }

    fn advance(&mut self, wall: u64) {
        let calls_before = self.phase.floor();
        self.phase += self.calls_per_second(wall) * TICK as f64 / 1_000.0;
        if self.phase.floor() > calls_before {
            self.due_until = wall + CALL_VALIDITY;
        }
    }
}

impl LimitShare for LeasedQuota {
    type Datagram = QuotaDatagram;

    fn send(&mut self, wall: u64, demand: f64) -> Vec<Outgoing<QuotaDatagram>> {
        let mut datagrams = Vec::new();
        self.send_sum(wall, &mut datagrams);
        self.report(wall, demand, &mut datagrams);
        self.advance(wall);
        datagrams
    }

    fn receive(&mut self, wall: u64, from: usize, datagram: QuotaDatagram) {
        match datagram {
            QuotaDatagram::Demand { round, demand } if round == wall / ROUND => {
                self.reports.insert(from, demand);
            }
            QuotaDatagram::Demand { .. } => {}
            QuotaDatagram::Sum(sum) => self.apply(sum),
        }
    }

    fn try_call(&mut self, wall: u64) -> bool {
        std::mem::take(&mut self.due_until) > wall
    }
}
