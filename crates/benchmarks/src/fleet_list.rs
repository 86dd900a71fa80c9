//! `fleet-list`: the time until each sender of a fleet that starts at once has its endpoint list from one discovery
//! service, in simulated time.

use clap::Args;
use rudderspindle_policy::interface::Discovery;
use rudderspindle_sender::PollSchedule;
use rudderspindle_simulation::list_polling::{
    DiscoveryService, OverloadBehaviour, PollDelays, simulate_polling,
};

use crate::arguments::CommonArguments;
use crate::report::Report;

/// Time within which a sender must poll after a change of the list, ms.
const POLL_DEADLINE: f64 = 10_000.0;
/// Share of the senders whose time is reported.
const REPORTED_SHARE: f64 = 0.9;

/// The fleet and its discovery service.
#[derive(Clone, Debug, Args)]
pub struct ListArguments {
    /// Number of senders, which all start at once.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    senders: u16,
    /// Time that discovery needs for one request, milliseconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    request_ms: u16,
}

/// How senders schedule their polls.
struct PollingCase {
    name: &'static str,
    /// Prefix of its metrics.
    key: &'static str,
    /// Number of senders that the schedule assumes.
    assumed_senders: usize,
}

/// Simulates each round with staggered polls and with the polls of a single sender.
pub fn run(common: &CommonArguments, fleet: &ListArguments) -> Report {
    let seed = common.seed();
    let mut report = Report::new("fleet-list", seed);
    let senders = usize::from(fleet.senders);
    println!("seed {seed}, {senders} senders, {} ms per request", fleet.request_ms);
    println!("{:<16} {:>24} {:>24}", "polls", "90% have the list (s)", "without a list (share)");
    let cases = [
        PollingCase { name: "staggered", key: "in_turns", assumed_senders: senders },
        PollingCase { name: "not staggered", key: "as_if_alone", assumed_senders: 1 },
    ];
    for case in &cases {
        let rounds = (0..common.rounds).map(|round| seed.wrapping_add(round));
        let times: Vec<_> = rounds.flat_map(|seed| simulate(fleet, case.assumed_senders, seed)).collect();
        let without_list = report_times(case, &times, &mut report);
        if case.assumed_senders == senders && without_list > 0.0 {
            report.failed_check(format!("{without_list:.3} of the senders had no list after a minute"));
        }
    }
    report
}

/// When each sender received its list, s.
fn simulate(fleet: &ListArguments, assumed_senders: usize, seed: u64) -> Vec<Option<f64>> {
    let discovery = Discovery::OnRequest { ask_within: POLL_DEADLINE };
    let first_seed = seed.wrapping_mul(10_000);
    let schedule =
        |sender: u64| PollSchedule::new(discovery, assumed_senders, first_seed.wrapping_add(sender)).delays();
    let schedules =
        (0..u64::from(fleet.senders)).map(|sender| Box::new(schedule(sender)) as PollDelays).collect();
    let request_time = f64::from(fleet.request_ms) / 1_000.0;
    let service = DiscoveryService { request_time, overload: OverloadBehaviour::Queue, reachable_at: 0.0 };
    simulate_polling(service, schedules).list_received_at
}

/// Reports when most senders had their list; the share of those without one.
fn report_times(case: &PollingCase, times: &[Option<f64>], report: &mut Report) -> f64 {
    let mut received: Vec<f64> = times.iter().flatten().copied().collect();
    received.sort_by(f64::total_cmp);
    let without_list = 1.0 - received.len() as f64 / times.len() as f64;
    let reported = received.get((times.len() as f64 * REPORTED_SHARE).ceil() as usize - 1);
    let shown = reported.map_or("never".to_owned(), |at| format!("{at:.1}"));
    println!("{:<16} {shown:>24} {without_list:>24.3}", case.name);
    if let Some(&at) = reported {
        report.metric(&format!("{}_nine_tenths_s", case.key), at);
    }
    report.metric(&format!("{}_without_share", case.key), without_list);
    without_list
}
