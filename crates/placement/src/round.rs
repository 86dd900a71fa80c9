//! Gossip rounds: fixed periods of the wall clock.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Length of a gossip round, in milliseconds.
pub const ROUND_MS: u64 = 500;

/// The number of a gossip round: milliseconds since the Unix epoch, divided by [`ROUND_MS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Round(pub(crate) u64);

impl Round {
    /// The round that contains a point in time.
    pub(crate) fn containing(time: UnixMillis) -> Round {
        Round(time.0 / ROUND_MS)
    }

    /// The number: milliseconds since the Unix epoch, divided by [`ROUND_MS`].
    pub fn number(self) -> u64 {
        self.0
    }

    /// The round that is `rounds` later.
    pub(crate) fn plus(self, rounds: u64) -> Round {
        Round(self.0.saturating_add(rounds))
    }

    /// When the round begins; the latest time that can be represented if that would overflow.
    pub(crate) fn start(self) -> UnixMillis {
        UnixMillis(self.0.saturating_mul(ROUND_MS))
    }

    /// When the round begins, or `None` if that would overflow.
    pub(crate) fn checked_start(self) -> Option<UnixMillis> {
        self.0.checked_mul(ROUND_MS).map(UnixMillis)
    }
}
