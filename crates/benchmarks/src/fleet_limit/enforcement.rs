//! Compares capacity shares with permits over the loss of datagrams, and the two schemes without policies.

use std::ops::Range;

use rudderspindle_simulation::limit_schemes::{Comparison, Conditions, SchemeMetrics, compare};
use rudderspindle_simulation::receiver::{
    GossipNetwork, LimitEnforcement, Observations, Scenario, max_calls_by_permits, simulate,
};

use super::totals::Totals;
use super::{EnforcementArgument, FleetArguments, LimitCase, limit_cases};
use crate::report::Report;

/// Shares of the datagrams that are lost, unless one is given.
const LOSSES: [f64; 5] = [0.0, 0.1, 0.5, 0.9, 1.0];
/// Lengths of the time spans in which the calls of senders with permits are checked, ms.
const CHECKED_SPANS: [f64; 4] = [100.0, 500.0, 1_000.0, 5_000.0];

/// How a fleet is kept to its limit.
struct Mode {
    enforcement: LimitEnforcement,
    name: &'static str,
    /// Part of its metrics' names.
    key: &'static str,
}

const CAPACITY_SHARES: Mode =
    Mode { enforcement: LimitEnforcement::CapacityShares, name: "capacity shares", key: "use" };
const PERMITS: Mode = Mode { enforcement: LimitEnforcement::Permits, name: "permits", key: "strict" };

/// The simulated fleets, and the report of their metrics.
struct Runner<'a> {
    seeds: &'a Range<u64>,
    fleet: &'a FleetArguments,
    /// Duration of a scenario, ms.
    duration: f64,
    report: &'a mut Report,
}

/// Prints a row for each loss and limit.
///
/// A fleet with permits that starts more calls in a span than its bound, and one that overloads a recovering receiver, is
/// a failed check.
pub(super) fn run(seeds: &Range<u64>, fleet: &FleetArguments, duration: f64, report: &mut Report) {
    let modes: &[Mode] = match fleet.enforcement {
        EnforcementArgument::CapacityShares => &[CAPACITY_SHARES],
        EnforcementArgument::Permits => &[PERMITS],
        EnforcementArgument::Both => &[CAPACITY_SHARES, PERMITS],
    };
    let losses = fleet.loss.map_or(LOSSES.to_vec(), |loss| vec![loss]);
    let mut runner = Runner { seeds, fleet, duration, report };
    runner.run_limit_cases(modes, &losses);
    runner.compare_schemes(&losses);
}

impl Runner<'_> {
    fn run_limit_cases(&mut self, modes: &[Mode], losses: &[f64]) {
        println!(
            "columns: use (share), value (share), rejections per delivery, peak second (over the limit)"
        );
        let heads: Vec<String> = modes.iter().map(|mode| format!("{:>33}", mode.name)).collect();
        println!("{:<5} {:<12} {}", "loss", "limit", heads.join(" |"));
        for &loss in losses {
            for case in &limit_cases() {
                let cells: Vec<String> = modes.iter().map(|mode| self.run_cell(loss, case, mode)).collect();
                println!("{loss:<5} {:<12} {}", case.name, cells.join(" |"));
            }
        }
    }

    /// Simulates all seeds of one cell of the table; its text.
    fn run_cell(&mut self, loss: f64, case: &LimitCase, mode: &Mode) -> String {
        let mut totals = Totals::default();
        let key = format!("lost_{:.0}_{}_{}", loss * 100.0, case.key, mode.key);
        for seed in self.seeds.clone() {
            let base = self.fleet.scenario(seed, case, self.duration);
            let gossip_network = Some(GossipNetwork::with_loss(loss));
            let enforcement = mode.enforcement;
            let scenario = Scenario { peers: base.senders, gossip_network, enforcement, ..base };
            let observations = simulate(&scenario);
            totals.add(&scenario, &observations);
            if enforcement == LimitEnforcement::Permits {
                self.check_bound(&key, &scenario, &observations);
            }
        }
        totals.check_recovery_load(&key, self.report);
        totals.add_metrics(&key, self.report);
        totals.add_peak_second(&key, self.report);
        totals.cell()
    }

    fn check_bound(&mut self, key: &str, scenario: &Scenario, observations: &Observations) {
        for span in CHECKED_SPANS {
            let calls = observations.max_calls_within(span) as f64;
            let bound = max_calls_by_permits(scenario.announced_rate, span, scenario.max_clock_skew);
            if calls > bound {
                let seed = scenario.seed;
                let check =
                    format!("{key}, seed {seed}: {calls} calls in {span} ms, the bound is {bound:.1}");
                self.report.failed_check(check);
            }
        }
    }

    /// Prints the metrics of permits and leased quotas without policies.
    fn compare_schemes(&mut self, losses: &[f64]) {
        println!("without policies; columns: use (share), peak second (over the limit)");
        println!("{:<5} {:>15} | {:>15}", "loss", "permits", "leased quotas");
        for &loss in losses {
            let FleetArguments { senders, limit, load, .. } = *self.fleet;
            let senders = usize::from(senders);
            let conditions = self.seeds.clone().map(|seed| Conditions { senders, limit, load, loss, seed });
            let rounds: Vec<Comparison> = conditions.map(|conditions| compare(&conditions)).collect();
            let permits: Vec<SchemeMetrics> = rounds.iter().map(|round| round.permits).collect();
            let quotas: Vec<SchemeMetrics> = rounds.iter().map(|round| round.leased_quotas).collect();
            let key = format!("lost_{:.0}", loss * 100.0);
            let permits = self.report_scheme(&format!("{key}_rights"), &permits);
            let quotas = self.report_scheme(&format!("{key}_leased"), &quotas);
            println!("{loss:<5} {permits} | {quotas}");
        }
    }

    /// Adds the metrics of a scheme; its part of the row.
    fn report_scheme(&mut self, key: &str, rounds: &[SchemeMetrics]) -> String {
        let utilization = rounds.iter().map(|round| round.utilization).sum::<f64>() / rounds.len() as f64;
        let peak_second = rounds.iter().map(|round| round.peak_second).fold(0.0, f64::max);
        self.report.metric(&format!("{key}_use_share"), utilization);
        self.report.metric(&format!("{key}_worst_second_ratio"), peak_second);
        format!("{utilization:>7.3} {peak_second:>7.2}")
    }
}
