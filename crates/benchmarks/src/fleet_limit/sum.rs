//! What was counted in all rounds of one kind.

use rudderspindle_simulation::partner::{Scene, Seen};

use crate::report::Report;

/// Counts over rounds.
#[derive(Default)]
pub(super) struct Sum {
    room: f64,
    delivered: f64,
    refused: f64,
    offered: f64,
    earned: f64,
    push: f64,
    second: f64,
}

impl Sum {
    pub fn add(&mut self, scene: &Scene, seen: &Seen) {
        self.room += (scene.told * scene.ends / 1_000.0).min(seen.asked as f64);
        self.delivered += seen.delivered as f64;
        self.refused += seen.refused as f64;
        self.offered += seen.offered.iter().sum::<f64>();
        self.earned += seen.earned.iter().sum::<f64>();
        self.push = self.push.max(seen.worst);
        self.second = self.second.max(seen.most_in_second() as f64 / scene.told);
    }

    /// The hardest push of a cold partner over what it could do.
    pub fn push(&self) -> f64 {
        self.push
    }

    /// Use of the limit, worth of that handed in, and refusals for each delivered.
    fn shares(&self) -> [(&'static str, f64); 3] {
        let per = |n: f64, of: f64| n / of.max(1.0);
        [
            ("use_share", per(self.delivered, self.room)),
            ("earned_share", per(self.earned, self.offered)),
            ("refused_ratio", per(self.refused, self.delivered)),
        ]
    }

    pub fn report(&self, name: &str, report: &mut Report) {
        let [(_, used), (_, earned), (_, refused)] = self.shares();
        println!("{name:<28} {used:>12.3} {earned:>14.3} {refused:>24.3} {:>14.2}", self.push);
        let key = name.replace([' ', ','], "_").replace("__", "_");
        self.figures(&key, report);
    }

    /// Use, worth, refusals and the calls of the worst second over the limit, as a part of a row.
    pub fn report_with_second(&self, key: &str, report: &mut Report) -> String {
        self.figures(key, report);
        report.figure(&format!("{key}_worst_second_ratio"), self.second);
        let [(_, used), (_, earned), (_, refused)] = self.shares();
        format!("{used:>7.3} {earned:>7.3} {refused:>9.3} {:>7.2}", self.second)
    }

    fn figures(&self, key: &str, report: &mut Report) {
        for (what, value) in self.shares() {
            report.figure(&format!("{key}_{what}"), value);
        }
        if self.push > 0.0 {
            report.figure(&format!("{key}_push_ratio"), self.push);
        }
    }
}
