//! `fleet-limit`: a fleet before one receiver's limit in simulated time, with gossip, with a known number of senders, and
//! with an assumed small number.

mod enforcement;
mod recovery;
mod totals;

use std::ops::Range;

use clap::{Args, ValueEnum};
use rudderspindle_simulation::receiver::{GossipNetwork, Limit, Outage, Scenario, simulate};

use crate::arguments::CommonArguments;
use crate::report::Report;
use totals::Totals;

/// Default duration of a round, simulated s.
const DEFAULT_SECONDS: u16 = 40;
/// Number of senders that the settings of the baseline's senders assume.
const ASSUMED_SENDERS: usize = 3;

/// The fleet and the limit.
#[derive(Clone, Debug, Args)]
pub struct FleetArguments {
    /// Number of senders; messages are spread evenly over them.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    senders: u16,
    /// Messages submitted over the receiver's limit.
    #[arg(long, default_value_t = 1.2)]
    load: f64,
    /// The receiver's limit, calls per second of all senders together.
    #[arg(long, default_value_t = 60.0)]
    limit: f64,
    /// Share of the gossip datagrams that are lost. With `--enforcement permits` or `both` several shares by default.
    #[arg(long, alias = "lost", value_parser = parse_share)]
    loss: Option<f64>,
    /// How senders with gossip are kept to the limit.
    #[arg(long, alias = "bound", value_enum, default_value_t = EnforcementArgument::CapacityShares)]
    enforcement: EnforcementArgument,
    /// Measures instead the load on a receiver that recovers from an outage, for fleets of these sizes.
    #[arg(long, alias = "returns", value_name = "SENDERS", value_delimiter = ',',
          value_parser = clap::value_parser!(u16).range(1..=1_000))]
    recovery: Vec<u16>,
}

/// How senders with gossip are kept to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum EnforcementArgument {
    /// Each sender gets a share of the capacity.
    #[value(alias = "use")]
    CapacityShares,
    /// Each call needs a permit.
    #[value(alias = "strict")]
    Permits,
    /// Compares the two.
    Both,
}

/// A kind of limit, and an outage.
struct LimitCase {
    name: &'static str,
    /// Part of its metrics' names.
    key: &'static str,
    limit: Limit,
    /// When the receiver is down, ms.
    outage: Option<Range<f64>>,
}

fn limit_cases() -> [LimitCase; 3] {
    let halved = Limit::TokenBucket { halved: 8_000.0..17_000.0, retry_after: 750.0, max_debt: 1_500.0 };
    let window = Limit::Window { carry_over: 0.5 };
    let outage = 8_000.0..13_000.0;
    [
        LimitCase { name: "window", key: "spans", limit: window.clone(), outage: None },
        LimitCase { name: "halved rate", key: "halved_rate", limit: halved, outage: None },
        LimitCase { name: "outage", key: "outage", limit: window, outage: Some(outage) },
    ]
}

impl FleetArguments {
    /// A scenario of `duration` ms whose senders have no gossip and assume a small fleet.
    fn scenario(&self, seed: u64, case: &LimitCase, duration: f64) -> Scenario {
        let never = f64::INFINITY..f64::INFINITY;
        let outage = case.outage.clone().unwrap_or(never);
        let senders = usize::from(self.senders);
        Scenario {
            senders,
            busy_senders: senders,
            peers: ASSUMED_SENDERS.min(senders),
            limit: case.limit.clone(),
            announced_rate: self.limit,
            routes: 2,
            affected_routes: 0..2,
            load: self.load,
            service_time: 150.0,
            outage_start: outage.start,
            outage_end: outage.end,
            duration,
            ..Scenario::random(seed, |_| Outage::RefuseConnections)
        }
    }
}

fn parse_share(text: &str) -> Result<f64, String> {
    let share: Option<f64> = text.parse().ok();
    share.filter(|share| (0.0..=1.0).contains(share)).ok_or_else(|| "not a share from 0 to 1".to_owned())
}

/// Simulates the fleet before each kind of limit, by the given enforcement; or its load on a recovering receiver.
pub fn run(common: &CommonArguments, fleet: &FleetArguments) -> Report {
    let seed = common.seed();
    let seeds = seed..seed.wrapping_add(common.rounds);
    let mut report = Report::new("fleet-limit", seed);
    if !fleet.recovery.is_empty() {
        recovery::run(&seeds, &fleet.recovery, &mut report);
        return report;
    }
    let duration = f64::from(common.seconds.unwrap_or(DEFAULT_SECONDS)) * 1_000.0;
    println!(
        "seed {seed}, {} senders, limit {} calls per second, load {}",
        fleet.senders, fleet.limit, fleet.load
    );
    if fleet.enforcement == EnforcementArgument::CapacityShares {
        run_limit_cases(&seeds, fleet, duration, &mut report);
    } else {
        enforcement::run(&seeds, fleet, duration, &mut report);
    }
    report
}

/// How the senders of a fleet account for each other.
struct FleetCase {
    name: &'static str,
    /// Part of its metrics' names.
    key: &'static str,
    /// Number of senders by their settings.
    peers: usize,
    gossip_network: Option<GossipNetwork>,
}

fn fleet_cases(fleet: &FleetArguments) -> [FleetCase; 3] {
    let senders = usize::from(fleet.senders);
    let assumed = ASSUMED_SENDERS.min(senders);
    let gossip = GossipNetwork::with_loss(fleet.loss.unwrap_or(0.0));
    [
        FleetCase { name: "gossip", key: "with_notes", peers: senders, gossip_network: Some(gossip) },
        FleetCase { name: "known size", key: "told", peers: senders, gossip_network: None },
        FleetCase { name: "assumed size", key: "as_if_few", peers: assumed, gossip_network: None },
    ]
}

fn run_limit_cases(seeds: &Range<u64>, fleet: &FleetArguments, duration: f64, report: &mut Report) {
    println!(
        "{:<28} {:>12} {:>14} {:>26} {:>20}",
        "limit, fleet", "use (share)", "value (share)", "rejections per delivery", "peak recovery load"
    );
    for case in &limit_cases() {
        for FleetCase { name, key, peers, gossip_network } in &fleet_cases(fleet) {
            let mut totals = Totals::default();
            for seed in seeds.clone() {
                let gossip_network = gossip_network.clone();
                let base = fleet.scenario(seed, case, duration);
                let scenario = Scenario { peers: *peers, gossip_network, ..base };
                totals.add(&scenario, &simulate(&scenario));
            }
            totals.print_row(&format!("{}, {name}", case.name));
            totals.add_metrics(&format!("{}_{key}", case.key), report);
            if *peers == usize::from(fleet.senders) {
                totals.check_recovery_load(case.name, report);
            }
        }
    }
}
