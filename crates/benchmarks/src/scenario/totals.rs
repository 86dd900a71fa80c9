//! Totals of all rounds.

use rudderspindle_testkit::checker::{Accounting, Recovery};

use super::round::Round;
use crate::report::Report;

/// Totals of the conclusive rounds, and reruns and memory of all.
#[derive(Default)]
pub(super) struct Totals {
    accounting: Accounting,
    recoveries: Vec<Recovery>,
    reruns: u64,
    peak_kib: u64,
}

impl Totals {
    /// Adds a round.
    pub fn add(&mut self, round: Round) {
        self.reruns += round.reruns;
        self.peak_kib = self.peak_kib.max(round.result.peak_kib);
        if !round.verdict.is_inconclusive() {
            self.add_accounting(&round.verdict.accounting);
            self.recoveries.extend(round.verdict.recoveries);
        }
    }

    fn add_accounting(&mut self, round: &Accounting) {
        let total = &mut self.accounting;
        total.submitted += round.submitted;
        total.accepted += round.accepted;
        total.rejected_on_submission += round.rejected_on_submission;
        total.failed_on_submission += round.failed_on_submission;
        total.unanswered += round.unanswered;
        total.delivered += round.delivered;
        total.rejected += round.rejected;
        total.failed += round.failed;
        total.pending += round.pending;
        total.lost += round.lost;
        total.duplicated += round.duplicated;
        total.in_time += round.in_time;
        total.late += round.late;
        total.calls += round.calls;
        total.calls_rejected += round.calls_rejected;
    }

    /// Adds the metrics; that no message was accepted is a failed check.
    pub fn report(&self, report: &mut Report) {
        let total = &self.accounting;
        if total.accepted == 0 {
            report.failed_check(
                "no message was accepted: all rounds were inconclusive, or no sender answered".to_owned(),
            );
        }
        report.metric("handed_in_count", total.submitted);
        report.metric("taken_on_count", total.accepted);
        report.metric("delivered_count", total.delivered);
        report.metric("refused_count", total.rejected + total.rejected_on_submission);
        report.metric("failed_count", total.failed + total.failed_on_submission);
        report.metric("lost_count", total.lost);
        report.metric("doubled_count", total.duplicated);
        report.metric("late_runs_count", self.reruns);
        report.metric("memory_peak_kib", self.peak_kib);
        report.metric("return_worst_ratio", self.peak_recovery_ratio(|_| true));
        report.metric(
            "return_worst_shared_shut_or_refused_ratio",
            self.peak_recovery_ratio(is_shared_shut_or_refused),
        );
        report.metric("returns_count", self.recoveries.len());
        report.metric("in_time_share", share(total.in_time, total.submitted));
        report.metric("calls_refused_share", share(total.calls_rejected, total.calls));
    }

    fn peak_recovery_ratio(&self, selects: fn(&Recovery) -> bool) -> f64 {
        let selected = self.recoveries.iter().filter(|recovery| selects(recovery));
        selected.map(|recovery| recovery.peak_ratio).fold(0.0, f64::max)
    }
}

fn is_shared_shut_or_refused(recovery: &Recovery) -> bool {
    recovery.shared && matches!(recovery.kind.as_str(), "shut" | "refuse")
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
