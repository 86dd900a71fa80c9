//! Rejections in a row, and whether they show an outage rather than a limit.

use crate::interface::{Millis, Outcome};

/// A longer Retry-After shows an outage, in ms.
const OUTAGE_RETRY_AFTER: Millis = 2_500.0;
/// Rejections in a row that show an outage if they last longer than [`OUTAGE_REJECTIONS_SPAN`].
const OUTAGE_REJECTIONS: u32 = 4;
/// Time from the first rejection in a row, in ms; a limit recovers within it.
const OUTAGE_REJECTIONS_SPAN: Millis = 2_000.0;

/// Rejections since the last call that was not rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConsecutiveRejections {
    count: u32,
    first_at: Millis,
}

impl ConsecutiveRejections {
    /// Number of rejections.
    pub fn count(self) -> u32 {
        self.count
    }

    /// Counts the outcome of a call. Returns whether it shows an outage by itself.
    pub fn record(&mut self, now: Millis, outcome: Outcome, retry_after: Millis) -> bool {
        if outcome != Outcome::Rejected {
            self.count = 0;
            return false;
        }
        if self.count == 0 {
            self.first_at = now;
        }
        self.count += 1;
        // Departure (all calls were rejected for longer than a limit lasts): it is an outage, even without a
        // Retry-After.
        let is_repeated = self.count >= OUTAGE_REJECTIONS && now - self.first_at > OUTAGE_REJECTIONS_SPAN;
        retry_after > OUTAGE_RETRY_AFTER || is_repeated
    }
}
