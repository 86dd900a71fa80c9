//! Totals of the scenarios of one row.

use rudderspindle_simulation::receiver::Observations;

use crate::report::Report;

/// Peak loads of several scenarios, over the calls that the receiver tolerates.
#[derive(Default)]
struct PeakLoads {
    /// Number of scenarios with more calls than the receiver tolerates.
    overloaded: usize,
    max_ratio: f64,
}

impl PeakLoads {
    fn add(&mut self, ratio: f64) {
        self.overloaded += usize::from(ratio > 1.0);
        self.max_ratio = self.max_ratio.max(ratio);
    }
}

/// Totals of several scenarios.
#[derive(Default)]
pub(super) struct Row {
    scenarios: usize,
    /// Of all calls.
    all: PeakLoads,
    /// Of the calls of senders that saw a failure.
    informed: PeakLoads,
    /// Calls at the scenarios' peaks, by their senders' knowledge.
    calls: [f64; 4],
    /// Sum over the scenarios of the number of calls that overloads the receiver at the peak.
    overload_calls: f64,
    /// Sum over the scenarios of the messages delivered during the recovery ramp, over the possible ones.
    delivered: f64,
}

impl Row {
    /// Adds a scenario; `ramp_capacity` is the number of calls that the receiver accepts during its recovery ramp.
    pub fn add(&mut self, observations: &Observations, ramp_capacity: f64) {
        let peak = observations.peak_load;
        self.scenarios += 1;
        self.all.add(peak.ratio());
        self.informed.add(observations.informed_peak_load.informed_ratio());
        self.overload_calls += peak.overload_calls;
        for (sum, calls) in self.calls.iter_mut().zip(peak.calls) {
            *sum += calls as f64;
        }
        self.delivered += observations.delivered_during_ramp as f64 / ramp_capacity;
    }

    /// Prints the row and adds its metrics.
    pub fn report(&self, name: &str, key: &str, report: &mut Report) {
        let per_scenario = |sum: f64| sum / (self.scenarios as f64).max(1.0);
        let over = per_scenario(self.all.overloaded as f64);
        let informed_over = per_scenario(self.informed.overloaded as f64);
        let [down, warming_up, failures, unaware] =
            self.calls.map(|calls| calls / self.overload_calls.max(f64::MIN_POSITIVE));
        let delivered = per_scenario(self.delivered);
        let (all_max, informed_max) = (self.all.max_ratio, self.informed.max_ratio);
        println!(
            "{name:<34} {all_max:>7.2} {over:>6.2} {informed_max:>9.2} {informed_over:>6.2} {down:>9.2} \
            {warming_up:>6.2} {failures:>6.2} {unaware:>7.2} {delivered:>10.2}"
        );
        report.metric(&format!("{key}_push_ratio"), all_max);
        report.metric(&format!("{key}_over_share"), over);
        report.metric(&format!("{key}_told_push_ratio"), informed_max);
        report.metric(&format!("{key}_told_over_share"), informed_over);
        report.metric(&format!("{key}_served_share"), delivered);
        if self.informed.overloaded > 0 {
            let overloaded = self.informed.overloaded;
            report.failed_check(format!(
                "{name}: senders that saw a failure overloaded the receiver in {overloaded} scenarios"
            ));
        }
    }
}

/// Prints the head of the table.
pub(super) fn print_head() {
    println!(
        "N: the number of calls in 3 s that overloads the recovering receiver; tolerated: N + 2 root N + 2"
    );
    println!(
        "max, over: peak load over the tolerated calls, share of scenarios above it; then by informed senders"
    );
    println!("probe to unaware: calls at the peak over N, by what their senders observed of the outage");
    println!(
        "{:<34} {:>7} {:>6} {:>9} {:>6} {:>9} {:>6} {:>6} {:>7} {:>10}",
        "fleet", "max", "over", "informed", "over", "probe", "ramp", "failed", "unaware", "delivered"
    );
}
