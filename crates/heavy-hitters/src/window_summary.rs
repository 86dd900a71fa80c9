//! The reply of an aggregator: totals over a window.
//!
//! Invariant: a better summary replaces an earlier one; summaries are never added up. Therefore a summary may
//! arrive twice, late or not at all.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::packing::{MAX_BODY_LEN, pack_alternately, varint_len};
use crate::sender_id::Incarnation;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_totals::{KeyTotal, KeyTotals, WindowTotals};

/// Maximum total: two of them can be added without overflow.
const MAX_TOTAL: u64 = 1 << 62;

/// The listed keys of a window, and a bound of all other keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopKeys {
    /// The totals of the listed keys: streams in descending order of their lower bounds, idempotency keys in
    /// descending order of the number of senders.
    pub totals: Vec<KeyTotal>,
    /// Upper bound of the total of any key that is not listed.
    pub max_unlisted: u64,
}

/// The slices of the recipient whose digests the aggregator has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The process that published these digests.
    pub incarnation: Incarnation,
    /// One bit for each slice of the window; the lowest bit is the latest slice.
    pub slice_bits: u8,
    /// Sum of the totals of these slices.
    pub total: u64,
}

/// Totals over a window that an aggregator sends to a publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSummary {
    /// The slice that was open when the summary was made; the window consists of the slices before it.
    pub slice: Slice,
    /// Index of the round within `slice` in which the summary was made.
    pub round_index: u8,
    /// The stored slices of the recipient of this summary.
    pub acknowledgement: Acknowledgement,
    /// Number of senders with a complete count for each slice of the window, the latest slice first.
    pub complete_counts: [u16; SLICES_PER_WINDOW as usize],
    /// Number of messages accepted by all senders that reported.
    pub messages: u64,
    /// The heaviest streams.
    pub streams: TopKeys,
    /// The idempotency keys that most senders accepted.
    pub idempotency_keys: TopKeys,
}

/// Orders summaries by quality; the greater one is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SummaryQuality {
    slice: Slice,
    complete_counts: u64,
    round_index: u8,
}

impl WindowSummary {
    /// Creates a summary of as many totals as fit into a datagram, made in this round of this slice, without an
    /// acknowledgement.
    #[must_use]
    pub fn new(slice: Slice, round_index: u8, totals: &WindowTotals) -> Self {
        let streams = heaviest_first(&totals.streams);
        let idempotency_keys = most_repeated_first(&totals.idempotency_keys);
        // A key that only one sender accepted was not retried at another sender, so it is not listed.
        let repeated_count = idempotency_keys.partition_point(|total| total.senders > 1);
        let available_len = MAX_BODY_LEN.saturating_sub(max_head_len(slice, totals));
        let packed = pack_alternately(
            available_len,
            &encoded_lens(&streams),
            &encoded_lens(&idempotency_keys[..repeated_count]),
        );
        let messages = totals.messages;
        Self {
            slice,
            round_index,
            acknowledgement: Acknowledgement::default(),
            complete_counts: totals.complete_counts,
            messages,
            streams: TopKeys::first(streams, packed.first, totals.streams.max_unlisted, messages),
            idempotency_keys: TopKeys::first(
                idempotency_keys,
                packed.second,
                totals.idempotency_keys.max_unlisted,
                messages,
            ),
        }
    }

    /// Whether the numbers are consistent with each other.
    pub(crate) fn is_consistent(&self) -> bool {
        let is_bounded = |total: &KeyTotal| total.min <= self.messages && total.spread <= MAX_TOTAL;
        let all_bounded =
            |top_keys: &TopKeys| top_keys.max_unlisted <= MAX_TOTAL && top_keys.totals.iter().all(is_bounded);
        // The sum saturates because a forged summary may contain any numbers.
        let min_sum = self.streams.totals.iter().fold(0_u64, |sum, total| sum.saturating_add(total.min));
        self.messages <= MAX_TOTAL
            && all_bounded(&self.streams)
            && all_bounded(&self.idempotency_keys)
            && min_sum <= self.messages
    }

    /// The quality of the summary: first by slice, then by number of complete counts, then by round.
    pub(crate) fn quality(&self) -> SummaryQuality {
        let complete_counts = self.complete_counts.iter().map(|senders| u64::from(*senders)).sum();
        SummaryQuality { slice: self.slice, complete_counts, round_index: self.round_index }
    }
}

impl TopKeys {
    /// Takes the first `count` totals. Upper bounds are reduced to `messages`, the number of all messages.
    fn first(mut totals: Vec<KeyTotal>, count: usize, max_unlisted: u64, messages: u64) -> Self {
        let unlisted = totals[count..].iter().map(KeyTotal::max);
        let max_unlisted = unlisted.fold(max_unlisted, u64::max).min(messages);
        totals.truncate(count);
        for total in &mut totals {
            total.spread = total.spread.min(messages.saturating_sub(total.min));
        }
        Self { totals, max_unlisted }
    }
}

fn heaviest_first(totals: &KeyTotals) -> Vec<KeyTotal> {
    let mut totals = totals.totals.clone();
    totals.sort_unstable_by_key(|total| (Reverse(total.min), Reverse(total.spread), total.key));
    totals
}

fn most_repeated_first(totals: &KeyTotals) -> Vec<KeyTotal> {
    let mut totals = totals.totals.clone();
    totals.sort_unstable_by_key(|total| (Reverse(total.senders), Reverse(total.min), total.key));
    totals
}

/// Upper bound of the encoded length of a summary without its listed keys, in bytes.
fn max_head_len(slice: Slice, totals: &WindowTotals) -> usize {
    let counts: usize = totals.complete_counts.iter().map(|senders| varint_len((*senders).into())).sum();
    // Bounds of unlisted keys can exceed the number of messages.
    let largest = totals.messages.max(totals.streams.max_unlisted).max(totals.idempotency_keys.max_unlisted);
    let total_len = varint_len(largest) + 1;
    // Bytes: message kind, round index, acknowledged slices and the lengths of two lists (5); the longest
    // incarnation; the slice; the complete counts; four totals.
    5 + varint_len(u64::MAX) + varint_len(slice.0) + counts + 4 * total_len
}

fn encoded_lens(totals: &[KeyTotal]) -> Vec<usize> {
    totals.iter().map(KeyTotal::encoded_len).collect()
}
