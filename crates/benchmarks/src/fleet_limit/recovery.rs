//! The load of a whole fleet on a receiver that recovers from an outage, over the calls that it tolerates.

mod row;

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rudderspindle_simulation::receiver::{
    GossipNetwork, Limit, LoadPeak, Observations, Outage, Restart, Scenario, recovery_ramp_capacity, simulate,
};

use crate::report::Report;
use row::{Row, print_head};

/// Range of the limits of small receivers, calls a second.
const SMALL_LIMITS: Range<f64> = 3.0..8.0;
/// Limit of a large receiver, calls a second.
const LARGE_LIMIT: f64 = 75.0;
/// Range of the limits of random scenarios, calls a second.
const RANDOM_LIMITS: Range<f64> = 6.0..24.0;
/// The largest fleet that is simulated without gossip only.
const MAX_FLEET_WITHOUT_GOSSIP: usize = 10;
/// Minimum number of messages submitted to each busy sender during the outage, on average.
const MIN_MESSAGES: f64 = 2.0;
/// Time from the end of the outage to the kill of senders, ms.
const RESTART_AFTER: f64 = 1_500.0;
/// Downtime of killed senders, ms.
const RESTART_DOWNTIME: f64 = 600.0;
/// In scenarios with a restart, 1 / `RESTARTED_DIVISOR` of the senders are killed.
const RESTARTED_DIVISOR: usize = 10;
/// Number of scenarios that are simulated in parallel.
const JOBS: usize = 3;

const OUTAGES: [Outage; 5] = [
    Outage::RefuseConnections,
    Outage::Unresponsive,
    Outage::Errors { share: 0.9 },
    Outage::RejectAll { retry_after_probability: 1.0 },
    Outage::RejectAll { retry_after_probability: 0.0 },
];

/// The distribution of the load over the fleet.
#[derive(Clone, Copy)]
struct LoadCase {
    name: &'static str,
    /// Part of its metrics' names.
    key: &'static str,
    /// Messages are submitted to 1 / `busy_divisor` of the senders.
    busy_divisor: usize,
    /// Messages over the limit.
    load: f64,
}

const LOADS: [LoadCase; 3] = [
    LoadCase { name: "all busy", key: "all_busy", busy_divisor: 1, load: 0.9 },
    LoadCase { name: "few busy", key: "few_busy", busy_divisor: 10, load: 0.9 },
    LoadCase { name: "overload", key: "overrun", busy_divisor: 1, load: 3.0 },
];

/// The fleet's gossip.
struct GossipCase {
    name: &'static str,
    /// Part of its metrics' names.
    key: &'static str,
    network: Option<GossipNetwork>,
}

fn gossip_cases() -> [GossipCase; 4] {
    let [lossless, half_lost] = [0.0, 0.5].map(GossipNetwork::with_loss);
    let partitioned = GossipNetwork { loss: 0.0, partition: 6_000.0..f64::INFINITY };
    [
        GossipCase { name: "no gossip", key: "notes_none", network: None },
        GossipCase { name: "gossip", key: "notes_all", network: Some(lossless) },
        GossipCase { name: "50% loss", key: "notes_half_lost", network: Some(half_lost) },
        GossipCase { name: "partition", key: "notes_cut", network: Some(partitioned) },
    ]
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ReceiverSize {
    Small,
    Large,
}

impl ReceiverSize {
    /// The name in the table and in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
        }
    }

    /// The limit, calls a second, from that of a random scenario.
    fn limit(self, random: f64) -> f64 {
        match self {
            Self::Small => {
                let fraction = (random - RANDOM_LIMITS.start) / (RANDOM_LIMITS.end - RANDOM_LIMITS.start);
                SMALL_LIMITS.start + (SMALL_LIMITS.end - SMALL_LIMITS.start) * fraction
            }
            Self::Large => LARGE_LIMIT,
        }
    }
}

/// The fleet, receiver, gossip and load of one row.
struct RowCase<'a> {
    senders: usize,
    size: ReceiverSize,
    gossip: &'a GossipCase,
    load: LoadCase,
}

impl RowCase<'_> {
    fn name(&self) -> String {
        let Self { senders, size, gossip, load } = self;
        format!("{senders} {}, {}, {}", size.name(), gossip.name, load.name)
    }

    fn key(&self) -> String {
        let Self { senders, size, gossip, load } = self;
        format!("{senders}_{}_{}_{}", size.name(), gossip.key, load.key)
    }

    /// A scenario with an outage during which each busy sender gets messages.
    fn base_scenario(&self, seed: u64) -> Scenario {
        let Self { senders, load, .. } = *self;
        let random = Scenario::random(seed, |_| Outage::RefuseConnections);
        let announced_rate = self.size.limit(random.announced_rate);
        let period = random.outage_start..random.outage_end;
        let messages = (period.end - period.start) / 1_000.0 * load.load * announced_rate;
        let factor = (MIN_MESSAGES * senders as f64 / messages).max(1.0);
        Scenario {
            senders,
            busy_senders: senders.div_ceil(load.busy_divisor),
            peers: senders,
            limit: Limit::Window { carry_over: 0.5 },
            announced_rate,
            load: load.load,
            load_peak: LoadPeak { factor, period },
            gossip_network: self.gossip.network.clone(),
            ..random
        }
    }

    /// The scenarios of the row: each seed with each outage, without a restart and with one.
    fn scenarios(&self, seeds: &Range<u64>) -> Vec<Scenario> {
        let mut scenarios = Vec::new();
        for seed in seeds.clone() {
            let base = self.base_scenario(seed);
            let restart = Restart {
                senders: 0..self.senders.div_ceil(RESTARTED_DIVISOR),
                killed_at: base.outage_end + RESTART_AFTER,
                downtime: RESTART_DOWNTIME,
            };
            for outage in OUTAGES {
                for restart in [None, Some(restart.clone())] {
                    scenarios.push(Scenario { outage, restart, ..base.clone() });
                }
            }
        }
        scenarios
    }

    fn run(&self, seeds: &Range<u64>, report: &mut Report) {
        let scenarios = self.scenarios(seeds);
        let mut row = Row::default();
        for (scenario, observations) in scenarios.iter().zip(simulate_all(&scenarios)) {
            row.add(&observations, recovery_ramp_capacity(scenario.announced_rate));
        }
        row.report(&self.name(), &self.key(), report);
    }
}

/// Simulates scenarios in parallel; returns the results in the same order.
fn simulate_all(scenarios: &[Scenario]) -> Vec<Observations> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(scenario) = scenarios.get(index) else { return done };
            done.push((index, simulate(scenario)));
        }
    };
    let mut all: Vec<(usize, Observations)> = thread::scope(|scope| {
        let jobs: Vec<_> = (0..JOBS).map(|_| scope.spawn(work)).collect();
        jobs.into_iter().flat_map(|job| job.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(index, _)| *index);
    all.into_iter().map(|(_, observations)| observations).collect()
}

/// Prints a row for each fleet, size of receiver, kind of gossip and load.
///
/// A row whose senders overload the receiver although they saw a failure is a failed check.
pub(super) fn run(seeds: &Range<u64>, fleets: &[u16], report: &mut Report) {
    print_head();
    for senders in fleets.iter().copied().map(usize::from) {
        for size in [ReceiverSize::Small, ReceiverSize::Large] {
            for gossip in &gossip_cases() {
                if gossip.network.is_some() && senders <= MAX_FLEET_WITHOUT_GOSSIP {
                    continue;
                }
                for load in LOADS {
                    RowCase { senders, size, gossip, load }.run(seeds, report);
                }
            }
        }
    }
}
