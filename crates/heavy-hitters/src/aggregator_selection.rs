//! Which senders aggregate the digests of a slice.
//!
//! Invariant: all senders select the same aggregators for a term, whatever they have received.

use crate::mix::mix;
use crate::sender_id::SenderId;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// Number of slices for which aggregators are selected: a minute at a window of 10 s. The next ones have to be sent a whole
/// window again, and nothing is sharp for a second; a longer term costs more where the one selected is down for some.
pub(crate) const TERM_SLICES: u64 = 6 * SLICES_PER_WINDOW;
/// Number of senders that are selected for a term: one that does not answer is followed by the next.
const CANDIDATES: usize = 3;

/// The senders that may aggregate while this slice is open, in order: the first that answers does.
#[must_use]
pub fn aggregators(slice: Slice, sender_count: usize) -> Vec<SenderId> {
    let term = mix(slice.0 / TERM_SLICES);
    let mut ranked: Vec<(u64, SenderId)> =
        (0..sender_count).map(|index| (mix(term ^ index as u64), SenderId(index))).collect();
    let count = CANDIDATES.min(ranked.len());
    if count > 0 {
        ranked.select_nth_unstable(count - 1);
    }
    ranked.truncate(count);
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, sender)| sender).collect()
}
