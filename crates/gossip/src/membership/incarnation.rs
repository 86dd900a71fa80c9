//! Incarnation numbers: one for each start of a sender's process, ascending for each sender number.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Maximum lead of an incarnation over the reader's clock, in milliseconds: more than clocks differ, and short enough that
/// a number is usable again a minute after a start with a wrong clock.
pub(super) const MAX_CLOCK_LEAD: u64 = 60_000;

/// One run of a sender's process, from its start to its end: larger than all earlier ones under its sender number.
///
/// The value is the wall clock of the start in ms since 1970, or one more than the previous incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a process that starts at `now`, after the one `stored` in its state folder.
    ///
    /// Without a stored one it is the clock's time; after the clock was set back it is one more than the stored one. It must
    /// be stored before it is first announced.
    pub fn next(stored: Option<Self>, now: UnixMillis) -> Self {
        Self(stored.map_or(now.0, |stored| now.0.max(stored.0.saturating_add(1))))
    }

    /// Rejects an incarnation that is more than `MAX_CLOCK_LEAD` ahead of `now`.
    pub(super) fn check_clock(self, now: UnixMillis) -> Result<(), IncarnationTooFarAhead> {
        if self.0 > now.0.saturating_add(MAX_CLOCK_LEAD) {
            return Err(IncarnationTooFarAhead { announced: self.0, now });
        }
        Ok(())
    }
}

/// An incarnation more than `MAX_CLOCK_LEAD` ahead of the reader's clock: forged, or from a wrong clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("incarnation {announced} is over {MAX_CLOCK_LEAD} ms ahead of the clock, which says {now}")]
pub struct IncarnationTooFarAhead {
    /// The incarnation in the message.
    pub announced: u64,
    /// The reader's clock.
    pub now: UnixMillis,
}
