//! Consecutive rejections, and whether they indicate an outage instead of an exceeded limit.

use crate::interface::{Millis, Outcome};

/// A Retry-After above this time, in ms, indicates an outage.
const OUTAGE_RETRY_AFTER: Millis = 2_500.0;
/// Number of consecutive rejections that indicates an outage if they last longer than
/// [`OUTAGE_REJECTIONS_SPAN`].
const OUTAGE_REJECTIONS: u32 = 4;
/// Consecutive rejections indicate an outage only if the first one was more than this time ago, in ms,
/// because an exceeded limit recovers within this time.
const OUTAGE_REJECTIONS_SPAN: Millis = 2_000.0;

/// The rejections since the last call that was not rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConsecutiveRejections {
    count: u32,
    first_at: Millis,
}

impl ConsecutiveRejections {
    pub fn count(self) -> u32 {
        self.count
    }

    /// Counts the outcome of a call. Returns whether this outcome alone indicates an outage.
    pub fn record(&mut self, now: Millis, outcome: Outcome, retry_after: Millis) -> bool {
        if outcome != Outcome::Rejected {
            self.count = 0;
            return false;
        }
        if self.count == 0 {
            self.first_at = now;
        }
        self.count += 1;
        // Extension (rejections last longer than at an exceeded limit): an outage has begun, even if the
        // rejections had no Retry-After.
        let is_repeated = self.count >= OUTAGE_REJECTIONS && now - self.first_at > OUTAGE_REJECTIONS_SPAN;
        retry_after > OUTAGE_RETRY_AFTER || is_repeated
    }
}
