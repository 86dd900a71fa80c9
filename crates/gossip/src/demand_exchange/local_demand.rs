//! What one sender does at its own gates.

use std::collections::VecDeque;

use crate::limit_id::LimitId;
use crate::sums::Sum;

/// Counts are of this time, ms.
const SPAN: u64 = 1_000;

/// What a sender does at a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    /// Which gate.
    pub limit_id: LimitId,
    /// Its limit as told, calls a second from all senders together.
    pub limit: f64,
    /// Calls wanted now: what waits, and what comes before the next word.
    pub demand: f64,
    /// Calls made so far.
    pub calls: u64,
    /// ...that were refused.
    pub rejected: u64,
    /// ...that failed: not answered, or not well.
    pub failed: u64,
}

/// Calls, those refused and those failed.
type Counts = [u64; 3];

/// A gate as it was of late.
#[derive(Debug)]
pub(crate) struct Seen {
    /// The first round that was told of it.
    pub since: u64,
    pub limit: f64,
    wanted: f64,
    /// Counts as they were, and when.
    counts: VecDeque<(u64, Counts)>,
}

impl Seen {
    pub fn new(since: u64) -> Self {
        Self { since, limit: 0.0, wanted: 0.0, counts: VecDeque::new() }
    }

    pub fn saw(&mut self, wall: u64, own: &LocalDemand) {
        (self.limit, self.wanted) = (own.limit, own.demand);
        self.counts.push_back((wall, [own.calls, own.rejected, own.failed]));
        while self.counts.len() > 1 && self.counts[1].0 + SPAN <= wall {
            self.counts.pop_front();
        }
    }

    pub fn sum(&self) -> Sum {
        let (first, last) = (self.counts.front(), self.counts.back());
        let since = |n: usize| {
            first.zip(last).map_or(0.0, |(first, last)| last.1[n].saturating_sub(first.1[n]) as f64)
        };
        Sum { wanted: self.wanted, called: since(0), refused: since(1), failed: since(2) }
    }

    /// How many counts it keeps.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.counts.len()
    }
}
