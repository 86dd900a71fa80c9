//! Timing of the permit protocol: rounds, the term of each round, and tolerances for clocks and delays.

use std::ops::Range;

use rudderspindle_clock::UnixMillis;

/// Length of a round, in milliseconds.
pub const ROUND: u64 = 500;
/// The part of a round over which the senders' offers are spread, in milliseconds: the grants of the previous round have
/// arrived by its start, and the last offers arrive before the round ends.
pub(crate) const OFFER_WINDOW: Range<u64> = 100..400;
/// Time between the end of a round and the start of its term, in which grants are delivered, in milliseconds.
pub(crate) const GRANT_LEAD_TIME: u64 = 150;
/// How long a permit is valid, in milliseconds: longer than the interval at which a sender polls its queue.
pub(crate) const PERMIT_VALIDITY: u64 = 100;
/// Maximum backward step of a clock that is not considered set back, in milliseconds.
pub(crate) const CLOCK_STEP_TOLERANCE: u64 = 50;
/// Maximum age of a message that can still arrive, in rounds: one minute.
pub(crate) const MAX_MESSAGE_AGE_ROUNDS: u64 = 60_000 / ROUND;

/// The round that a time lies in.
pub(crate) fn round_at(now: UnixMillis) -> u64 {
    now.0 / ROUND
}

/// When a round starts.
pub(crate) fn round_start(round: u64) -> UnixMillis {
    UnixMillis(round * ROUND)
}

/// The time whose permits are allocated in a round.
pub(crate) fn term(round: u64) -> Range<UnixMillis> {
    let start = round_start(round + 1) + GRANT_LEAD_TIME;
    start..start + ROUND
}

/// The round in whose term a point in time lies.
pub(crate) fn round_of_term_at(time: UnixMillis) -> u64 {
    round_at(time.saturating_sub(GRANT_LEAD_TIME)).saturating_sub(1)
}
