//! Rounds, and the term of each: the time whose turns are dealt out in it.

use std::ops::Range;

/// Length of a round, ms.
pub const ROUND: u64 = 500;
/// Offers go out within this part of a round, each sender's at a moment of its own, ms: what was lent in the last round
/// has come by then, and the last offers still arrive.
pub(crate) const OFFERING: Range<u64> = 100..400;
/// After a round's end so much is left for the way of what is lent before its term begins, ms.
pub(crate) const LEAD: u64 = 150;
/// How long a turn may be used, ms: longer than a sender takes from one look at what waits to the next.
pub(crate) const VALID: u64 = 100;
/// A clock that goes back by more than this has been set, ms.
pub(crate) const BACK: u64 = 50;
/// A note this much later than it was sent is not to be reckoned with any more: a minute, in rounds.
pub(crate) const NOTE_LIVES: u64 = 60_000 / ROUND;

/// The time whose turns are dealt out in a round, ms since 1970: before it all have heard what they are lent.
pub(crate) fn term(round: u64) -> Range<u64> {
    let begins = (round + 1) * ROUND + LEAD;
    begins..begins + ROUND
}
