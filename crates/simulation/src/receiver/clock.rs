//! The senders' wall clocks.

use rudderspindle_policy::interface::Millis;

/// Wall clock at the start of a simulation, ms since 1970.
const START_WALL: u64 = 1_700_000_000_000;

/// A wall clock that is `ahead` ms ahead, in ms since 1970.
pub(super) fn wall_clock(now: Millis, ahead: u64) -> u64 {
    START_WALL + now as u64 + ahead
}
