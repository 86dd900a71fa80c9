//! Timing of the permit protocol: rounds, the term of each round, and tolerances for clocks and delays.

use std::ops::Range;

/// Length of a round, in milliseconds.
pub const ROUND: u64 = 500;
/// The part of a round in which offers are sent, each sender's at its own moment, in milliseconds: the grants of the last
/// round have arrived by its start, and the last offers still arrive before the round ends.
pub(crate) const OFFER_WINDOW: Range<u64> = 100..400;
/// Time between the end of a round and the start of its term, in milliseconds: grants travel in it.
pub(crate) const GRANT_LEAD_TIME: u64 = 150;
/// How long a permit is valid, in milliseconds: longer than the interval at which a sender looks at its queue.
pub(crate) const PERMIT_VALIDITY: u64 = 100;
/// A clock that goes back by more than this has been set, in milliseconds.
pub(crate) const CLOCK_STEP_TOLERANCE: u64 = 50;
/// After this many rounds (one minute) a message can no longer arrive.
pub(crate) const MAX_MESSAGE_AGE_ROUNDS: u64 = 60_000 / ROUND;

/// The time whose permits are allocated in a round, in milliseconds since 1970.
pub(crate) fn term(round: u64) -> Range<u64> {
    let start = (round + 1) * ROUND + GRANT_LEAD_TIME;
    start..start + ROUND
}

/// The round in whose term a point of time lies, in milliseconds since 1970.
pub(crate) fn round_of_term_at(wall: u64) -> u64 {
    (wall.saturating_sub(GRANT_LEAD_TIME) / ROUND).saturating_sub(1)
}
