//! Timing of the permit protocol: rounds, the term of each round, and tolerances for clock steps and message delays.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

/// Length of a round, in milliseconds.
pub const ROUND: u64 = 500;
/// The part of a round over which the senders' offers are spread, in milliseconds after the round's start. When the
/// window starts, the grants of the previous round have been received; the last offers arrive before the round ends.
pub(crate) const OFFER_WINDOW: Range<u64> = 100..400;
/// Time between the end of a round and the start of its term, in milliseconds. Grants are delivered in this time.
pub(crate) const GRANT_LEAD_TIME: u64 = 150;
/// How long a permit is valid, in milliseconds. It is longer than the interval at which a sender polls its queue.
pub(crate) const PERMIT_VALIDITY: u64 = 100;
/// Maximum backward step of a clock that is tolerated, in milliseconds; after a larger step the clock counts as set
/// back.
pub(crate) const CLOCK_STEP_TOLERANCE: u64 = 50;
/// Maximum age at which a message may still be received, in rounds. It corresponds to one minute.
pub(crate) const MAX_MESSAGE_AGE_ROUNDS: u64 = 60_000 / ROUND;

/// The round that contains a point in time.
pub(crate) fn round_at(now: UnixMillis) -> u64 {
    now.0 / ROUND
}

/// When a round starts.
pub(crate) fn round_start(round: u64) -> UnixMillis {
    UnixMillis(round * ROUND)
}

/// The term of a round: the time span in which the permits that are allocated in the round start.
pub(crate) fn term(round: u64) -> Range<UnixMillis> {
    let start = round_start(round + 1) + GRANT_LEAD_TIME;
    start..start + ROUND
}

/// The round whose term contains a point in time.
pub(crate) fn round_of_term_at(time: UnixMillis) -> u64 {
    round_at(time.saturating_sub(GRANT_LEAD_TIME)).saturating_sub(1)
}
