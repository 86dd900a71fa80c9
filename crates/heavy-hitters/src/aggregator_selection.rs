//! Selection of the aggregators of a slice.
//!
//! Invariant: all senders select the same aggregators for a term, independent of received datagrams.

use crate::mix::mix;
use crate::sender_id::SenderId;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// Number of slices for which aggregators are selected: a minute if the window is 10 s. A longer term saves
/// datagrams because a new aggregator must be sent the whole window.
pub(crate) const TERM_SLICES: u64 = 6 * SLICES_PER_WINDOW;
/// Maximum number of senders selected for a term, as candidates; if one does not reply, the next one is contacted.
const MAX_CANDIDATES: usize = 3;

/// Returns the aggregator candidates of a slice in order of preference: the first one that replies is used.
#[must_use]
pub fn aggregators(slice: Slice, sender_count: usize) -> Vec<SenderId> {
    let term_hash = mix(slice.0 / TERM_SLICES);
    let mut ranked: Vec<(u64, SenderId)> =
        (0..sender_count).map(|index| (mix(term_hash ^ index as u64), SenderId(index))).collect();
    let candidate_count = MAX_CANDIDATES.min(ranked.len());
    if candidate_count > 0 {
        ranked.select_nth_unstable(candidate_count - 1);
    }
    ranked.truncate(candidate_count);
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, sender)| sender).collect()
}
