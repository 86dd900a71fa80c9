//! `fleet-list`: how soon each sender of a fleet that starts together gets its endpoint list from one discovery service,
//! in simulated time.

use clap::Args;
use rudderspindle_policy::interface::Discovery;
use rudderspindle_sender::PollSchedule;
use rudderspindle_simulation::lists::{self, Overload, Pauses, lists};

use crate::CommonArguments;
use crate::report::Report;

/// How soon a sender has to poll after a change, ms.
const POLL_DEADLINE: f64 = 10_000.0;
/// The share of the senders that the reported time covers.
const MOST_SENDERS: f64 = 0.9;

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

/// Simulates each round with senders that stagger their requests for the whole fleet, then with senders that poll like a
/// single one.
pub fn run(common: &CommonArguments, fleet: &ListArguments) -> Report {
    let seed = common.seed();
    let mut report = Report::new("fleet-list", seed);
    let senders = usize::from(fleet.senders);
    println!("seed {seed}, {senders} senders, {} ms a request", fleet.request_ms);
    println!("{:<16} {:>24} {:>16}", "senders", "nine tenths after (s)", "without (share)");
    for (peers, name) in [(senders, "in turns"), (1, "as if alone")] {
        let rounds = (0..common.rounds).map(|round| seed.wrapping_add(round));
        let times: Vec<_> = rounds.flat_map(|seed| simulate(fleet, peers, seed)).collect();
        let without = report_times(name, &times, &mut report);
        if peers == senders && without > 0.0 {
            report.broken(format!("{without:.3} of the senders had no list after a minute"));
        }
    }
    report
}

/// When each sender got its list, s, where its schedule is for a fleet of `peers`.
fn simulate(fleet: &ListArguments, peers: usize, seed: u64) -> Vec<Option<f64>> {
    let discovery = Discovery::OnRequest { ask_within: POLL_DEADLINE };
    let first_seed = seed.wrapping_mul(10_000);
    let schedule =
        |sender: u64| PollSchedule::new(discovery, peers, first_seed.wrapping_add(sender)).delays();
    let schedules =
        (0..u64::from(fleet.senders)).map(|sender| Box::new(schedule(sender)) as Pauses).collect();
    let cost = f64::from(fleet.request_ms) / 1_000.0;
    let queue = lists::Discovery { cost, overload: Overload::WorksOff, silent_until: 0.0 };
    lists(queue, schedules).got
}

/// Reports when most senders had their list; the share of those that got none.
fn report_times(name: &str, times: &[Option<f64>], report: &mut Report) -> f64 {
    let mut got: Vec<f64> = times.iter().flatten().copied().collect();
    got.sort_by(f64::total_cmp);
    let without = 1.0 - got.len() as f64 / times.len() as f64;
    let nine_tenths = got.get((times.len() as f64 * MOST_SENDERS).ceil() as usize - 1);
    let shown = nine_tenths.map_or("never".to_owned(), |at| format!("{at:.1}"));
    println!("{name:<16} {shown:>24} {without:>16.3}");
    let key = name.replace(' ', "_");
    if let Some(&at) = nine_tenths {
        report.figure(&format!("{key}_nine_tenths_s"), at);
    }
    report.figure(&format!("{key}_without_share"), without);
    without
}
