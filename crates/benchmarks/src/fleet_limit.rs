//! `rig fleet-limit`: many senders before one partner in simulated time: with notes, without, and as if they were few.

mod bounds;
mod returns;
mod sum;

use clap::{Args, ValueEnum};
use rudderspindle_simulation::partner::{Limit, Notes, Outage, Scene, play};

use crate::Common;
use crate::report::Report;
use sum::Sum;

/// Simulated seconds of a round if nothing else is said.
const SECONDS: u16 = 40;
/// What the baseline's senders are told: so many share a limit without having to think of a fleet.
const FEW: usize = 3;
/// A cold partner that is sent more than so many times what it can do falls over.
const FALLS_AT: f64 = 2.5;

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
    #[arg(long, value_enum, default_value_t = Held::Use)]
    bound: Held,
    /// Instead: what a partner that returns cold gets from each of these fleets together, against what it bears.
    #[arg(long, value_name = "SENDERS", value_delimiter = ',', value_parser = clap::value_parser!(u16).range(1..=1_000))]
    returns: Vec<u16>,
}

/// What holds senders with notes to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Held {
    /// What notes leave to each.
    Use,
    /// Turns: each call needs one.
    Strict,
    /// One beside the other.
    Both,
}

/// A limit, and from when until when the partner is down, ms.
type Strike = (&'static str, Limit, Option<(f64, f64)>);

fn strikes() -> [Strike; 3] {
    let halved = Limit::Rate { halved: 8_000.0..17_000.0, wait: 750.0, owed: 1_500.0 };
    let spans = Limit::Span { carried: 0.5 };
    [
        ("spans", spans.clone(), None),
        ("halved rate", halved, None),
        ("outage", spans, Some((8_000.0, 13_000.0))),
    ]
}

impl FleetArguments {
    /// A scene of so many ms whose senders have neither notes nor word of their number.
    fn scene(&self, seed: u64, (_, limit, down): &Strike, ends: f64) -> Scene {
        let (from, until) = down.unwrap_or((f64::INFINITY, f64::INFINITY));
        let calm = Scene::draw(seed, |_| Outage::Refuse);
        let senders = usize::from(self.senders);
        Scene {
            senders,
            busy: senders,
            peers: FEW.min(senders),
            limit: limit.clone(),
            told: self.limit,
            routes: 2,
            struck: 0..2,
            load: self.load,
            work: 150.0,
            from,
            until,
            ends,
            ..calm
        }
    }
}

fn share(text: &str) -> Result<f64, String> {
    let share: Option<f64> = text.parse().ok();
    share
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(|| "a share from 0 to 1 is wanted".to_owned())
}

/// Plays the scenes in turn, each with a fleet whose senders tell one another what they want, with one that only knows its
/// number, and with one that does not; or, where turns are asked for, with a fleet that has notes, over the notes' loss.
pub fn run(common: &Common, fleet: &FleetArguments) -> Report {
    let seed = common.seed();
    let mut report = Report::new("fleet-limit", seed);
    let ends = f64::from(common.seconds.unwrap_or(SECONDS)) * 1_000.0;
    if !fleet.returns.is_empty() {
        returns::run(&(seed..seed.wrapping_add(common.rounds)), &fleet.returns, &mut report);
        return report;
    }
    let senders = usize::from(fleet.senders);
    println!("seed {seed}, {senders} senders, {} calls a second, load {}", fleet.limit, fleet.load);
    if fleet.bound != Held::Use {
        bounds::run(seed..seed.wrapping_add(common.rounds), fleet, ends, &mut report);
        return report;
    }
    let (used, earned, refused) = ("use (share)", "worth (share)", "refusals per delivered");
    println!("{:<28} {used:>12} {earned:>14} {refused:>24} {:>14}", "scene", "worst push");
    for strike in &strikes() {
        let name = strike.0;
        let notes = Notes { lost: fleet.lost.unwrap_or(0.0), cut: 0.0..0.0 };
        for (peers, notes, who) in [
            (senders, Some(notes), "with notes"),
            (senders, None, "told"),
            (FEW.min(senders), None, "as if few"),
        ] {
            let mut sum = Sum::default();
            for round in 0..common.rounds {
                let calm = fleet.scene(seed.wrapping_add(round), strike, ends);
                let scene = Scene { peers, notes: notes.clone(), ..calm };
                sum.add(&scene, &play(&scene));
            }
            sum.report(&format!("{name}, {who}"), &mut report);
            if peers == senders && sum.push() > FALLS_AT {
                report.broken(format!("{name}: pushed to {:.2} times what it could do", sum.push()));
            }
        }
    }
    report
}
