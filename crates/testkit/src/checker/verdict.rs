//! The checker's result, and its summary as text.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::accounting::Accounting;
use super::rule::{Rule, Violation};

/// Lag of a fake beyond which a run is inconclusive, in microseconds.
pub const MAX_LAG_US: u64 = 50_000;
/// Violations of one rule that the summary lists.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// The load on a rate limit after an outage of all its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The receiver, or the endpoint if it is independent.
    #[serde(rename = "gate")]
    pub limit: String,
    /// Whether several endpoints share the limit and recover together.
    pub shared: bool,
    /// Kind of the outage.
    pub kind: String,
    /// When the outage ended, in microseconds on the log's clock.
    pub at_us: u64,
    /// The highest ratio of calls to capacity over the overload window, counting all senders, whether they had seen
    /// the outage or not.
    #[serde(rename = "worst_ratio")]
    pub peak_ratio: f64,
    /// Calls in the window with that ratio.
    #[serde(rename = "worst_calls")]
    pub peak_calls: usize,
}

/// Result of checking a log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Where the messages went.
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
    /// Whether the fakes lagged too much for the result to mean anything; the run is to be repeated.
    pub fn is_inconclusive(&self) -> bool {
        self.lag_us > MAX_LAG_US
    }

    /// Whether no rule is broken and no message lost or duplicated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.accounting.lost == 0 && self.accounting.duplicated == 0
    }

    /// The highest [`Recovery::peak_ratio`]; 0 if there was no recovery.
    pub fn peak_recovery_ratio(&self) -> f64 {
        self.recoveries.iter().map(|recovery| recovery.peak_ratio).fold(0.0, f64::max)
    }

    /// The rules that were broken.
    pub fn broken_rules(&self) -> BTreeSet<Rule> {
        self.violations.iter().map(|violation| violation.rule).collect()
    }

    fn write_rule(&self, f: &mut fmt::Formatter<'_>, rule: Rule) -> fmt::Result {
        let violations: Vec<&Violation> = self.violations.iter().filter(|v| v.rule == rule).collect();
        let state = if violations.is_empty() { "kept" } else { "BROKEN" };
        writeln!(f, "{rule:<36} {state}")?;
        for violation in violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(f, "    {} (lines {:?})", violation.what, violation.lines)?;
        }
        if violations.len() > MAX_LISTED_VIOLATIONS {
            writeln!(f, "    and {} more", violations.len() - MAX_LISTED_VIOLATIONS)?;
        }
        Ok(())
    }
}

impl fmt::Display for Accounting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "handed in          {:>7}", self.submitted)?;
        writeln!(f, "  taken on         {:>7}", self.accepted)?;
        writeln!(
            f,
            "    delivered      {:>7}   in time {}, late {}",
            self.delivered, self.in_time, self.late
        )?;
        writeln!(f, "    refused        {:>7}", self.rejected)?;
        writeln!(f, "    failed         {:>7}", self.failed)?;
        writeln!(f, "    open           {:>7}", self.pending)?;
        writeln!(f, "    lost           {:>7}", self.lost)?;
        writeln!(f, "  refused at door  {:>7}", self.rejected_on_submission)?;
        writeln!(f, "  failed at door   {:>7}", self.failed_on_submission)?;
        writeln!(f, "  unheard          {:>7}", self.unanswered)?;
        writeln!(f, "doubled            {:>7}", self.duplicated)?;
        writeln!(f, "calls              {:>7}   refused {}", self.calls, self.calls_rejected)
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
                "{limit} back from {kind:<8} return_worst_ratio {peak_ratio:.2}  ({peak_calls} calls)"
            )?;
        }
        if self.is_inconclusive() {
            writeln!(f, "late: a stand-in was {} ms behind; this run says nothing", self.lag_us / 1_000)?;
        }
        Ok(())
    }
}
