//! `rig fleet-list`: many senders that start together before one discovery in simulated time: when has each its list?

use clap::Args;
use rudderspindle_policy::interface::Discovery;
use rudderspindle_sender::PollSchedule;
use rudderspindle_simulation::lists::{self, Overload, Pauses, lists};

use crate::Common;
use crate::report::Report;

/// How soon a sender has to ask, as on the days of a hundred senders, ms.
const ASK_WITHIN: f64 = 10_000.0;
/// Nine tenths have it.
const MOST: f64 = 0.9;

/// The fleet and its discovery.
#[derive(Clone, Debug, Args)]
pub struct ListArguments {
    /// Senders that all start at once.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    senders: u16,
    /// What one request costs discovery, milliseconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    request_ms: u16,
}

/// Plays each round with senders that take turns and with such that ask as if they were alone, in turn.
pub fn run(common: &Common, fleet: &ListArguments) -> Report {
    let seed = common.seed();
    let mut report = Report::new("fleet-list", seed);
    let senders = usize::from(fleet.senders);
    println!("seed {seed}, {senders} senders, {} ms a request", fleet.request_ms);
    println!("{:<16} {:>24} {:>16}", "senders", "nine tenths after (s)", "without (share)");
    for (peers, who) in [(senders, "in turns"), (1, "as if alone")] {
        let mut times = Vec::new();
        for round in 0..common.rounds {
            let discovery = Discovery::OnRequest { ask_within: ASK_WITHIN };
            let seed = seed.wrapping_add(round).wrapping_mul(10_000);
            let pace = |n: usize| PollSchedule::new(discovery, peers, seed.wrapping_add(n as u64)).pauses();
            let paces = (0..senders).map(|n| Box::new(pace(n)) as Pauses).collect();
            let cost = f64::from(fleet.request_ms) / 1_000.0;
            let queue = lists::Discovery { cost, overload: Overload::WorksOff, silent_until: 0.0 };
            times.extend(lists(queue, paces).got);
        }
        let mut got: Vec<f64> = times.iter().flatten().copied().collect();
        got.sort_by(f64::total_cmp);
        let without = 1.0 - got.len() as f64 / times.len() as f64;
        let nine_tenths = got.get((times.len() as f64 * MOST).ceil() as usize - 1);
        let shown = nine_tenths.map_or("never".to_owned(), |at| format!("{at:.1}"));
        println!("{who:<16} {shown:>24} {without:>16.3}");
        let key = who.replace(' ', "_");
        if let Some(&at) = nine_tenths {
            report.figure(&format!("{key}_nine_tenths_s"), at);
        }
        report.figure(&format!("{key}_without_share"), without);
        if peers == senders && without > 0.0 {
            report.broken(format!("{without:.3} of the senders had no list after a minute"));
        }
    }
    report
}
