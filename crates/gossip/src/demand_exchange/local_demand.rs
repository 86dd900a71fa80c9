//! One sender's current demand at its limits, and its calls of the last second.

use std::collections::VecDeque;

use rudderspindle_clock::UnixMillis;

use crate::limit_id::LimitId;
use crate::load_totals::Load;

/// Time span over which calls are counted, in milliseconds.
const COUNT_WINDOW: u64 = 1_000;

/// This sender's demand at one limit, and the numbers of its calls at the limit since the process started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    /// The limit.
    pub limit_id: LimitId,
    /// The limit that the destination announces for all senders together, in calls a second.
    pub limit: f64,
    /// Calls in demand: queued calls, and calls expected before the next report.
    pub demand: f64,
    /// Calls started so far.
    pub calls: u64,
    /// Calls that the destination rejected so far.
    pub rejected: u64,
    /// Calls that failed so far, without a response or with an error.
    pub failed: u64,
}

/// Numbers of calls since the process started, as of one point in time.
#[derive(Clone, Copy, Debug)]
struct CallCounts {
    recorded_at: UnixMillis,
    calls: u64,
    rejected: u64,
    failed: u64,
}

/// The latest demand and the recent call counts at one limit.
#[derive(Debug)]
pub(crate) struct DemandHistory {
    /// The first round in which the limit was reported.
    pub first_round: u64,
    pub limit: f64,
    demand: f64,
    /// Call counts, oldest first. The first entry is the newest one that was recorded before the window, if there is any.
    counts: VecDeque<CallCounts>,
}

impl DemandHistory {
    /// An empty history of a limit that is first reported in `first_round`.
    pub fn new(first_round: u64) -> Self {
        Self { first_round, limit: 0.0, demand: 0.0, counts: VecDeque::new() }
    }

    /// Records the demand and the call counts at `now`.
    pub fn record(&mut self, now: UnixMillis, local: &LocalDemand) {
        self.limit = local.limit;
        self.demand = local.demand;
        let LocalDemand { calls, rejected, failed, .. } = *local;
        self.counts.push_back(CallCounts { recorded_at: now, calls, rejected, failed });
        while self.counts.len() > 1 && self.counts[1].recorded_at + COUNT_WINDOW <= now {
            self.counts.pop_front();
        }
    }

    /// The latest demand, and the calls within the last [`COUNT_WINDOW`].
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

    /// Number of stored call counts. Tests check that it is bounded.
    #[cfg(test)]
    pub fn entry_count(&self) -> usize {
        self.counts.len()
    }
}
