//! The verdict of the checker, and its summary as text.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::accounting::Accounting;
use super::rule::{Rule, Violation};

/// Lag of a fake above which the verdict on a run is inconclusive, in microseconds.
pub const MAX_LAG_US: u64 = 50_000;
/// Most violations of one rule that the summary lists.
const MAX_LISTED_VIOLATIONS: usize = 5;
/// Width of the accounting's labels, in columns.
const LABEL_WIDTH: usize = 22;
/// Width of the accounting's counts, in columns.
const COUNT_WIDTH: usize = 7;
/// Width of a rule's description, in columns.
const RULE_WIDTH: usize = 40;

/// The load on the endpoints that share a rate limit, after an outage of all of them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Name of the rate limit: the word `receiver` and the number of the receiver whose endpoints share it, or the id
    /// of an independent endpoint.
    #[serde(rename = "gate")]
    pub limit: String,
    /// Whether several endpoints share the limit and recover together.
    pub shared: bool,
    /// Kind of the outage, as in [`Event::Outage`](crate::event_log::Event::Outage).
    pub kind: String,
    /// When the outage ended, in microseconds on the log's clock.
    pub at_us: u64,
    /// The highest ratio of calls to capacity in any overload window during the warm-up. Calls of all senders count,
    /// whether or not they saw the outage.
    #[serde(rename = "worst_ratio")]
    pub peak_ratio: f64,
    /// Calls in the window that had the highest ratio.
    #[serde(rename = "worst_calls")]
    pub peak_calls: usize,
}

/// Result of checking a log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Outcomes of the messages.
    pub accounting: Accounting,
    /// All violations, in the order of the log.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// The highest lag of a fake, in microseconds.
    #[serde(rename = "late_us")]
    pub lag_us: u64,
    /// All recoveries from outages, in the order of the log.
    #[serde(rename = "returns")]
    pub recoveries: Vec<Recovery>,
}

impl Verdict {
    /// Whether the fakes lagged by more than [`MAX_LAG_US`], so that the run has to be repeated.
    pub fn is_inconclusive(&self) -> bool {
        self.lag_us > MAX_LAG_US
    }

    /// Whether no rule is violated and no message is lost or duplicated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.accounting.lost == 0 && self.accounting.duplicated == 0
    }

    /// The highest [`Recovery::peak_ratio`]; 0 if there was no recovery.
    pub fn peak_recovery_ratio(&self) -> f64 {
        self.recoveries.iter().map(|recovery| recovery.peak_ratio).fold(0.0, f64::max)
    }

    /// The rules with at least one violation.
    pub fn broken_rules(&self) -> BTreeSet<Rule> {
        self.violations.iter().map(|violation| violation.rule).collect()
    }

    fn write_rule(&self, f: &mut fmt::Formatter<'_>, rule: Rule) -> fmt::Result {
        let violations: Vec<&Violation> = self.violations.iter().filter(|v| v.rule == rule).collect();
        let state = if violations.is_empty() { "kept" } else { "BROKEN" };
        writeln!(f, "{rule:<RULE_WIDTH$} {state}")?;
        for violation in violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(f, "    {} (lines {:?})", violation.what, violation.lines)?;
        }
        if violations.len() > MAX_LISTED_VIOLATIONS {
            writeln!(f, "    and {} more", violations.len() - MAX_LISTED_VIOLATIONS)?;
        }
        Ok(())
    }
}

/// Writes one line of the accounting; `details` follow the count.
fn write_count(f: &mut fmt::Formatter<'_>, label: &str, count: u64, details: &str) -> fmt::Result {
    writeln!(f, "{label:<LABEL_WIDTH$}{count:>COUNT_WIDTH$}{details}")
}

impl fmt::Display for Accounting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_count(f, "submitted", self.submitted, "")?;
        write_count(f, "  accepted", self.accepted, "")?;
        let timeliness = format!("   in time {}, late {}", self.in_time, self.late);
        write_count(f, "    delivered", self.delivered, &timeliness)?;
        write_count(f, "    rejected", self.rejected, "")?;
        write_count(f, "    failed", self.failed, "")?;
        write_count(f, "    pending", self.pending, "")?;
        write_count(f, "    lost", self.lost, "")?;
        write_count(f, "  shed at admission", self.rejected_on_submission, "")?;
        write_count(f, "  failed at admission", self.failed_on_submission, "")?;
        write_count(f, "  unanswered", self.unanswered, "")?;
        write_count(f, "duplicated", self.duplicated, "")?;
        write_count(f, "calls", self.calls, &format!("   rejected {}", self.calls_rejected))
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.accounting)?;
        for rule in Rule::ALL {
            self.write_rule(f, rule)?;
        }
        for recovery in &self.recoveries {
            let Recovery { limit, kind, peak_ratio, peak_calls, .. } = recovery;
            writeln!(
                f,
                "{limit} recovered from {kind:<8} return_worst_ratio {peak_ratio:.2}  ({peak_calls} calls)"
            )?;
        }
        if self.is_inconclusive() {
            writeln!(f, "inconclusive: a fake lagged by {} ms; run it again", self.lag_us / 1_000)?;
        }
        Ok(())
    }
}
