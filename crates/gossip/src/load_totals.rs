//! The load at a limit, and the totals of the loads that several senders reported in one round.

use std::collections::BTreeMap;

use crate::limit_id::LimitId;

/// Demand at a limit and the calls of the last second, of one sender or added up over several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    /// Calls in demand: queued calls, and calls expected before the next report.
    pub demand: f64,
    /// Calls started in the last second.
    pub calls: f64,
    /// Calls that the destination rejected in the last second.
    pub rejected: f64,
    /// Calls that failed in the last second.
    pub failed: f64,
}

impl Load {
    /// Adds each figure of another load to this one's.
    fn add(&mut self, other: &Self) {
        self.demand += other.demand;
        self.calls += other.calls;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }

    /// This load multiplied by a factor, which extrapolates the load of some senders to more senders.
    pub(crate) fn scaled_by(&self, factor: f64) -> Self {
        Self {
            demand: self.demand * factor,
            calls: self.calls * factor,
            rejected: self.rejected * factor,
            failed: self.failed * factor,
        }
    }
}

/// A limit and the load at it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitLoad {
    pub limit_id: LimitId,
    pub load: Load,
}

/// The sums of the reports that an aggregator has received for one round.
#[derive(Debug, Default)]
pub(crate) struct RoundTotals {
    /// The senders whose reports are included, in the order in which their reports were received.
    pub reporters: Vec<usize>,
    pub loads: BTreeMap<LimitId, Load>,
}

impl RoundTotals {
    /// Adds a sender's report. Returns `false` and adds nothing if a report of that sender is already included.
    pub fn add(&mut self, sender: usize, report: &[LimitLoad]) -> bool {
        if self.reporters.contains(&sender) {
            return false;
        }
        self.reporters.push(sender);
        for entry in report {
            self.loads.entry(entry.limit_id).or_default().add(&entry.load);
        }
        true
    }
}
