//! Incarnation numbers: one for each start of a sender's process, growing under its sender number.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// How far an incarnation may be ahead of the reader's clock, ms.
///
/// Far more than clocks differ, and little enough that a number is usable again after a minute when its clock was wrong
/// at a start.
pub(super) const MAX_CLOCK_LEAD: u64 = 60_000;

/// One run of a sender's process, from its start to its end: larger than all earlier ones under its sender number.
///
/// The value is the wall clock of the start in ms since 1970, or one more than the previous incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a process that starts at `now`, after the one `stored` in its state folder.
    ///
    /// With an empty folder it is the clock alone; where the clock went back, it is one more than the stored one. It has
    /// to be stored before it is first announced.
    pub fn next(stored: Option<Self>, now: UnixMillis) -> Self {
        Self(stored.map_or(now.0, |stored| now.0.max(stored.0.saturating_add(1))))
    }

    /// Rejects an incarnation that is over `MAX_CLOCK_LEAD` ahead of the clock `now`.
    pub(super) fn check_clock(self, now: UnixMillis) -> Result<(), IncarnationTooFarAhead> {
        if self.0 > now.0.saturating_add(MAX_CLOCK_LEAD) {
            return Err(IncarnationTooFarAhead { announced: self.0, now });
        }
        Ok(())
    }
}

/// An incarnation over `MAX_CLOCK_LEAD` ahead of the reader's clock: forged, or from a clock that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("incarnation {announced} is over {MAX_CLOCK_LEAD} ms ahead of the clock, which says {now}")]
pub struct IncarnationTooFarAhead {
    /// The incarnation in the message.
    pub announced: u64,
    /// The reader's clock.
    pub now: UnixMillis,
}
