//! Totals of several rounds of the same kind of scenario.

use rudderspindle_simulation::receiver::{OVERLOAD_MULTIPLE, Observations, Scenario};

use crate::report::Report;

/// Totals and maxima over rounds.
#[derive(Default)]
pub(super) struct Totals {
    /// Messages that could be delivered: all submitted ones, at most the limit.
    possible: f64,
    delivered: f64,
    rejected: f64,
    submitted_value: f64,
    delivered_value: f64,
    peak_recovery_load: f64,
    peak_second: f64,
}

/// The reported ratios.
struct Ratios {
    /// Delivered messages over those that could be.
    utilization: f64,
    /// Value of the delivered messages over that of the submitted ones.
    value_share: f64,
    /// Rejected calls for each delivered message.
    rejected_ratio: f64,
}

impl Totals {
    /// Adds a round.
    pub fn add(&mut self, scenario: &Scenario, observations: &Observations) {
        let limit = scenario.announced_rate * scenario.duration / 1_000.0;
        let peak_second = observations.max_calls_in_second() as f64 / scenario.announced_rate;
        self.possible += limit.min(observations.submitted as f64);
        self.delivered += observations.delivered as f64;
        self.rejected += observations.rejected as f64;
        self.submitted_value += observations.submitted_value.iter().sum::<f64>();
        self.delivered_value += observations.delivered_value.iter().sum::<f64>();
        self.peak_recovery_load = self.peak_recovery_load.max(observations.peak_recovery_ratio);
        self.peak_second = self.peak_second.max(peak_second);
    }

    fn ratios(&self) -> Ratios {
        let per = |part: f64, whole: f64| part / whole.max(1.0);
        Ratios {
            utilization: per(self.delivered, self.possible),
            value_share: per(self.delivered_value, self.submitted_value),
            rejected_ratio: per(self.rejected, self.delivered),
        }
    }

    /// Prints a row of the table.
    pub fn print_row(&self, name: &str) {
        let Ratios { utilization, value_share, rejected_ratio } = self.ratios();
        println!(
            "{name:<28} {utilization:>12.3} {value_share:>14.3} {rejected_ratio:>26.3} {:>20.2}",
            self.peak_recovery_load
        );
    }

    /// A cell of the table with the peak second.
    pub fn cell(&self) -> String {
        let Ratios { utilization, value_share, rejected_ratio } = self.ratios();
        format!("{utilization:>7.3} {value_share:>7.3} {rejected_ratio:>9.3} {:>7.2}", self.peak_second)
    }

    /// Adds the metrics of the ratios and of the peak load during a recovery, if there was one.
    pub fn add_metrics(&self, key: &str, report: &mut Report) {
        let Ratios { utilization, value_share, rejected_ratio } = self.ratios();
        report.metric(&format!("{key}_use_share"), utilization);
        report.metric(&format!("{key}_earned_share"), value_share);
        report.metric(&format!("{key}_refused_ratio"), rejected_ratio);
        if self.peak_recovery_load > 0.0 {
            report.metric(&format!("{key}_push_ratio"), self.peak_recovery_load);
        }
    }

    /// Adds the metric of the maximum number of calls within a second, over the limit.
    pub fn add_peak_second(&self, key: &str, report: &mut Report) {
        report.metric(&format!("{key}_worst_second_ratio"), self.peak_second);
    }

    /// A recovering receiver that was overloaded is a failed check.
    pub fn check_recovery_load(&self, name: &str, report: &mut Report) {
        let load = self.peak_recovery_load;
        if load > OVERLOAD_MULTIPLE {
            report.failed_check(format!("{name}: load {load:.2} times the recovering receiver's capacity"));
        }
    }
}
