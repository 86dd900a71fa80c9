//! Rounds of the demand exchange: periods of the wall clock, numbered from the Unix epoch.

use rudderspindle_clock::UnixMillis;

/// Length of a round, in milliseconds.
pub const ROUND: u64 = 250;

/// The round that contains a point in time.
pub(crate) fn round_at(now: UnixMillis) -> u64 {
    now.0 / ROUND
}

/// When a round starts.
pub(crate) fn round_start(round: u64) -> UnixMillis {
    UnixMillis(round * ROUND)
}

/// The round nearest to `current_round` whose low 32 bits are `low_bits`; `None` if it would be before round 0.
pub(crate) fn nearest_round(low_bits: u32, current_round: u64) -> Option<u64> {
    let difference = low_bits.wrapping_sub(current_round as u32) as i32;
    current_round.checked_add_signed(i64::from(difference))
}
