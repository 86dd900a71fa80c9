//! Figures of several rounds of the same kind of scene.

use rudderspindle_simulation::partner::{Scene, Seen};

use crate::report::Report;

/// Totals and maxima over rounds.
#[derive(Default)]
pub(super) struct Totals {
    possible: f64,
    delivered: f64,
    rejected: f64,
    offered_value: f64,
    earned_value: f64,
    worst_overload: f64,
    worst_second: f64,
}

/// The reported ratios.
struct Ratios {
    /// Delivered messages over those that could be.
    use_share: f64,
    /// Value of the delivered messages over that of the submitted ones.
    earned_share: f64,
    /// Rejected calls for each delivered message.
    rejected_ratio: f64,
}

impl Totals {
    /// Adds a round.
    pub fn add(&mut self, scene: &Scene, seen: &Seen) {
        self.possible += (scene.told * scene.ends / 1_000.0).min(seen.asked as f64);
        self.delivered += seen.delivered as f64;
        self.rejected += seen.refused as f64;
        self.offered_value += seen.offered.iter().sum::<f64>();
        self.earned_value += seen.earned.iter().sum::<f64>();
        self.worst_overload = self.worst_overload.max(seen.worst);
        self.worst_second = self.worst_second.max(seen.most_in_second() as f64 / scene.told);
    }

    /// Calls to a recovering receiver over what it could take: the maximum.
    pub fn worst_overload(&self) -> f64 {
        self.worst_overload
    }

    fn ratios(&self) -> Ratios {
        let per = |part: f64, whole: f64| part / whole.max(1.0);
        Ratios {
            use_share: per(self.delivered, self.possible),
            earned_share: per(self.earned_value, self.offered_value),
            rejected_ratio: per(self.rejected, self.delivered),
        }
    }

    /// Prints a row and adds its figures.
    pub fn report(&self, name: &str, report: &mut Report) {
        let Ratios { use_share, earned_share, rejected_ratio } = self.ratios();
        println!(
            "{name:<28} {use_share:>12.3} {earned_share:>14.3} {rejected_ratio:>24.3} {:>14.2}",
            self.worst_overload
        );
        let key = name.replace([' ', ','], "_").replace("__", "_");
        self.add_figures(&key, report);
    }

    /// Adds the figures and that of the worst second's calls over the limit; the part of a row that shows them.
    pub fn report_with_worst_second(&self, key: &str, report: &mut Report) -> String {
        self.add_figures(key, report);
        report.figure(&format!("{key}_worst_second_ratio"), self.worst_second);
        let Ratios { use_share, earned_share, rejected_ratio } = self.ratios();
        format!("{use_share:>7.3} {earned_share:>7.3} {rejected_ratio:>9.3} {:>7.2}", self.worst_second)
    }

    fn add_figures(&self, key: &str, report: &mut Report) {
        let Ratios { use_share, earned_share, rejected_ratio } = self.ratios();
        report.figure(&format!("{key}_use_share"), use_share);
        report.figure(&format!("{key}_earned_share"), earned_share);
        report.figure(&format!("{key}_refused_ratio"), rejected_ratio);
        if self.worst_overload > 0.0 {
            report.figure(&format!("{key}_push_ratio"), self.worst_overload);
        }
    }
}
