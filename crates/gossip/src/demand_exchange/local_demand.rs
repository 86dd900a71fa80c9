//! One sender's current demand at its limits, and its calls of the last second.

use std::collections::VecDeque;

use rudderspindle_clock::UnixMillis;

use crate::limit_id::LimitId;
use crate::load_totals::Load;

/// Time over which calls are counted, in milliseconds.
const WINDOW: u64 = 1_000;

/// A sender's demand at one rate limit, and counts of its calls there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    /// The limit.
    pub limit_id: LimitId,
    /// The limit as announced, in calls a second of all senders together.
    pub limit: f64,
    /// Calls in demand: those that wait, and those expected before the next report.
    pub demand: f64,
    /// Calls started so far.
    pub calls: u64,
    /// Calls that the destination rejected so far.
    pub rejected: u64,
    /// Calls that failed so far, without an answer or with an error.
    pub failed: u64,
}

/// Total counts of calls at a point in time.
#[derive(Clone, Copy, Debug)]
struct CallCounts {
    at: UnixMillis,
    calls: u64,
    rejected: u64,
    failed: u64,
}

/// The latest demand and recent counts at one limit.
#[derive(Debug)]
pub(crate) struct DemandHistory {
    /// The first round in which the limit was reported.
    pub first_round: u64,
    pub limit: f64,
    demand: f64,
    /// Oldest first; the first may be older than the window.
    counts: VecDeque<CallCounts>,
}

impl DemandHistory {
    /// The history of a limit that is first reported in `first_round`.
    pub fn new(first_round: u64) -> Self {
        Self { first_round, limit: 0.0, demand: 0.0, counts: VecDeque::new() }
    }

    /// Records the demand and the counts at a time.
    pub fn record(&mut self, now: UnixMillis, local: &LocalDemand) {
        self.limit = local.limit;
        self.demand = local.demand;
        let LocalDemand { calls, rejected, failed, .. } = *local;
        self.counts.push_back(CallCounts { at: now, calls, rejected, failed });
        while self.counts.len() > 1 && self.counts[1].at + WINDOW <= now {
            self.counts.pop_front();
        }
    }

    /// The load of the last second.
    pub fn load(&self) -> Load {
        let since_first = |count: fn(&CallCounts) -> u64| {
            let first = self.counts.front().map_or(0, count);
            let latest = self.counts.back().map_or(0, count);
            latest.saturating_sub(first) as f64
        };
        Load {
            demand: self.demand,
            calls: since_first(|counts| counts.calls),
            rejected: since_first(|counts| counts.rejected),
            failed: since_first(|counts| counts.failed),
        }
    }

    /// Number of counts, for the tests of its bound.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.counts.len()
    }
}
