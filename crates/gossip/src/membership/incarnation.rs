//! Incarnation numbers. Each start of a sender's process has a larger one than all earlier starts under its sender number.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Maximum time by which an incarnation may be ahead of the reader's clock, in milliseconds.
///
/// The time is larger than the difference between clocks, and short enough that a sender number is usable again a minute
/// after a process started with a wrong clock.
pub(super) const MAX_CLOCK_LEAD: u64 = 60_000;

/// Number of one run of a sender's process, larger than all earlier ones under its sender number.
///
/// The value is the wall clock of the start in ms since 1970, or one more than the previous incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a process that starts at `now`; `stored` is the previous incarnation in the state folder.
    ///
    /// Without a stored incarnation the result is `now`; if the clock was set back, it is one more than the stored one. The
    /// result must be stored before it is first sent.
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

/// An incarnation is more than `MAX_CLOCK_LEAD` ahead of the reader's clock: it was forged, or one of the clocks is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("incarnation {announced}: must be at most {MAX_CLOCK_LEAD} ms ahead of the receiver's clock, {now}")]
pub struct IncarnationTooFarAhead {
    /// The incarnation in the received message.
    pub announced: u64,
    /// The time of the reader's clock when the message was received.
    pub now: UnixMillis,
}
