//! `fleet-limit`: a fleet before one receiver's limit in simulated time: with gossip, without, and as if it were small.

mod bounds;
mod recovery;
mod totals;

use std::ops::Range;

use clap::{Args, ValueEnum};
use rudderspindle_simulation::partner::{Limit, Notes, Outage, Scene, play};

use crate::CommonArguments;
use crate::report::Report;
use totals::Totals;

/// Default duration of a round, simulated s.
const SECONDS: u16 = 40;
/// The number of senders by the settings of the baseline's senders, whatever their real number.
const SMALL_FLEET: usize = 3;
/// How many times what it can take a recovering receiver bears before it fails again.
const OVERLOAD_MULTIPLE: f64 = 2.5;

/// The fleet.
#[derive(Clone, Debug, Args)]
pub struct FleetArguments {
    /// Senders, all handed messages alike.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    senders: u16,
    /// Messages over what the partner takes.
    #[arg(long, default_value_t = 1.2)]
    load: f64,
    /// What the partner takes, calls a second from all senders together.
    #[arg(long, default_value_t = 60.0)]
    limit: f64,
    /// The share of the notes that are lost; with `--bound` strict or both, from none to all in turn if not given.
    #[arg(long, value_parser = share)]
    lost: Option<f64>,
    /// What holds senders with notes to the limit.
    #[arg(long, value_enum, default_value_t = BoundArgument::Use)]
    bound: BoundArgument,
    /// Instead: what a partner that returns cold gets from each of these fleets together, against what it bears.
    #[arg(long, value_name = "SENDERS", value_delimiter = ',', value_parser = clap::value_parser!(u16).range(1..=1_000))]
    returns: Vec<u16>,
}

/// What keeps senders with gossip to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum BoundArgument {
    /// A capacity share for each sender.
    Use,
    /// Permits: each call needs one.
    Strict,
    /// Both, side by side.
    Both,
}

/// A kind of limit, and when the receiver is down, ms.
struct LimitCase {
    name: &'static str,
    limit: Limit,
    outage: Option<Range<f64>>,
}

fn limit_cases() -> [LimitCase; 3] {
    let halved = Limit::Rate { halved: 8_000.0..17_000.0, wait: 750.0, owed: 1_500.0 };
    let spans = Limit::Span { carried: 0.5 };
    [
        LimitCase { name: "spans", limit: spans.clone(), outage: None },
        LimitCase { name: "halved rate", limit: halved, outage: None },
        LimitCase { name: "outage", limit: spans, outage: Some(8_000.0..13_000.0) },
    ]
}

impl FleetArguments {
    /// A scene of `ends` ms whose senders have no gossip and the settings of a small fleet.
    fn scene(&self, seed: u64, case: &LimitCase, ends: f64) -> Scene {
        let never = f64::INFINITY..f64::INFINITY;
        let outage = case.outage.clone().unwrap_or(never);
        let drawn = Scene::draw(seed, |_| Outage::Refuse);
        let senders = usize::from(self.senders);
        Scene {
            senders,
            busy: senders,
            peers: SMALL_FLEET.min(senders),
            limit: case.limit.clone(),
            told: self.limit,
            routes: 2,
            struck: 0..2,
            load: self.load,
            work: 150.0,
            from: outage.start,
            until: outage.end,
            ends,
            ..drawn
        }
    }
}

fn share(text: &str) -> Result<f64, String> {
    let share: Option<f64> = text.parse().ok();
    share
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| "a share from 0 to 1 is wanted".to_owned())
}

/// Simulates each limit case with a fleet that has gossip, with one that only knows its size, and with one that does not;
/// or, where bounds are asked for, with a fleet that has gossip, over the loss of datagrams.
pub fn run(common: &CommonArguments, fleet: &FleetArguments) -> Report {
    let seed = common.seed();
    let seeds = seed..seed.wrapping_add(common.rounds);
    let mut report = Report::new("fleet-limit", seed);
    let ends = f64::from(common.seconds.unwrap_or(SECONDS)) * 1_000.0;
    if !fleet.returns.is_empty() {
        recovery::run(&seeds, &fleet.returns, &mut report);
        return report;
    }
    println!("seed {seed}, {} senders, {} calls a second, load {}", fleet.senders, fleet.limit, fleet.load);
    if fleet.bound == BoundArgument::Use {
        let seeds: Vec<u64> = (0..common.rounds).map(|round| seed.wrapping_add(round)).collect();
        run_limit_cases(&seeds, fleet, ends, &mut report);
    } else {
        bounds::run(&seeds, fleet, ends, &mut report);
    }
    report
}

/// What the senders of a fleet know of each other.
struct FleetKnowledge {
    name: &'static str,
    /// Number of senders by their settings.
    peers: usize,
    notes: Option<Notes>,
}

fn run_limit_cases(seeds: &[u64], fleet: &FleetArguments, ends: f64, report: &mut Report) {
    let senders = usize::from(fleet.senders);
    let (used, earned, rejected) = ("use (share)", "worth (share)", "refusals per delivered");
    println!("{:<28} {used:>12} {earned:>14} {rejected:>24} {:>14}", "scene", "worst push");
    let gossip = Notes { lost: fleet.lost.unwrap_or(0.0), cut: 0.0..0.0 };
    let fleets = [
        FleetKnowledge { name: "with notes", peers: senders, notes: Some(gossip) },
        FleetKnowledge { name: "told", peers: senders, notes: None },
        FleetKnowledge { name: "as if few", peers: SMALL_FLEET.min(senders), notes: None },
    ];
    for case in &limit_cases() {
        for FleetKnowledge { name, peers, notes } in &fleets {
            let mut totals = Totals::default();
            for &seed in seeds {
                let base = fleet.scene(seed, case, ends);
                let scene = Scene { peers: *peers, notes: notes.clone(), ..base };
                totals.add(&scene, &play(&scene));
            }
            totals.report(&format!("{}, {name}", case.name), report);
            let overload = totals.worst_overload();
            if *peers == senders && overload > OVERLOAD_MULTIPLE {
                report.broken(format!("{}: pushed to {overload:.2} times what it could do", case.name));
            }
        }
    }
}
