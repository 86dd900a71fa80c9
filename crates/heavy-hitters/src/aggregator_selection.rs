//! Selects the aggregators of a slice.
//!
//! Invariant: all senders select the same aggregators for a term, independent of received datagrams.

use crate::mix::mix;
use crate::sender_id::SenderId;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// Number of slices for which aggregators are selected: a minute at a window of 10 s. New aggregators must be sent the whole
/// window again.
pub(crate) const TERM_SLICES: u64 = 6 * SLICES_PER_WINDOW;
/// Number of senders selected for a term; one that does not answer is followed by the next.
const CANDIDATES: usize = 3;

/// The aggregator candidates of a slice, in order: the first one that answers is used.
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
