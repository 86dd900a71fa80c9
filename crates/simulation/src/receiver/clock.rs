//! The senders' wall clocks.

use rudderspindle_clock::UnixMillis;
use rudderspindle_policy::interface::Millis;

/// Wall clock at the start of a simulation.
const START_WALL: UnixMillis = UnixMillis(1_700_000_000_000);

/// A wall clock that is `ahead` ms ahead.
pub(super) fn wall_clock(now: Millis, ahead: u64) -> UnixMillis {
    START_WALL + now as u64 + ahead
}
