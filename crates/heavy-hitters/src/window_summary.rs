//! An aggregator's reply: totals over a window.
//!
//! Invariant: a summary is replaced by a better one and never added to another, so it may arrive twice, late or not at all.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::packing::{MAX_BODY_LEN, pack_alternately, varint_len};
use crate::sender_id::Incarnation;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_totals::{KeyTotal, KeyTotals, WindowTotals};

/// Maximum total: two of them can be added without overflow.
const MAX_TOTAL: u64 = 1 << 62;

/// The heaviest keys of a window, and a bound of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopKeys {
    /// The listed keys, the heaviest first.
    pub totals: Vec<KeyTotal>,
    /// Upper bound of the total of any key that is not listed.
    pub max_unlisted: u64,
}

/// The slices of the recipient that the aggregator has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The process whose digests they are.
    pub incarnation: Incarnation,
    /// One bit for each slice of the window; the lowest bit is the latest slice.
    pub slices: u8,
    /// Sum of their totals.
    pub total: u64,
}

/// Totals over a window, as an aggregator sends them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSummary {
    /// The slice that was open when it was made; the window consists of those before.
    pub slice: Slice,
    /// Round of that slice.
    pub round: u8,
    /// The stored slices of the recipient.
    pub acknowledgement: Acknowledgement,
    /// Number of senders with a complete count, for each slice, latest first.
    pub complete_counts: [u16; SLICES_PER_WINDOW as usize],
    /// Number of messages accepted by all senders that reported.
    pub messages: u64,
    /// The heaviest streams.
    pub streams: TopKeys,
    /// The idempotency keys that most senders accepted.
    pub keys: TopKeys,
}

/// The quality of a summary; the greater one is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SummaryQuality {
    slice: Slice,
    complete_counts: u64,
    round: u8,
}

impl WindowSummary {
    /// A summary of as many totals as fit into a datagram, made in this slice and round, without an acknowledgement.
    #[must_use]
    pub fn new(slice: Slice, round: u8, totals: &WindowTotals) -> Self {
        let streams = heaviest_first(&totals.streams);
        let keys = most_repeated_first(&totals.keys);
        // A key of a single sender is no retry at another one.
        let repeated = keys.partition_point(|total| total.senders > 1);
        let available = MAX_BODY_LEN.saturating_sub(max_head_len(slice, totals));
        let listed = pack_alternately(available, &encoded_lens(&streams), &encoded_lens(&keys[..repeated]));
        let messages = totals.messages;
        Self {
            slice,
            round,
            acknowledgement: Acknowledgement::default(),
            complete_counts: totals.complete_counts,
            messages,
            streams: TopKeys::first(streams, listed.first, totals.streams.max_unlisted, messages),
            keys: TopKeys::first(keys, listed.second, totals.keys.max_unlisted, messages),
        }
    }

    /// Whether the numbers are consistent with each other.
    pub(crate) fn is_consistent(&self) -> bool {
        let is_bounded = |total: &KeyTotal| total.min <= self.messages && total.spread <= MAX_TOTAL;
        let all_bounded =
            |list: &TopKeys| list.max_unlisted <= MAX_TOTAL && list.totals.iter().all(is_bounded);
        // The sum saturates, as a forged summary may hold any numbers.
        let min_sum = self.streams.totals.iter().fold(0_u64, |sum, total| sum.saturating_add(total.min));
        self.messages <= MAX_TOTAL
            && all_bounded(&self.streams)
            && all_bounded(&self.keys)
            && min_sum <= self.messages
    }

    /// The quality of the summary, by slice, number of complete counts, and round.
    pub(crate) fn quality(&self) -> SummaryQuality {
        let complete_counts = self.complete_counts.iter().map(|senders| u64::from(*senders)).sum();
        SummaryQuality { slice: self.slice, complete_counts, round: self.round }
    }
}

impl TopKeys {
    /// The first `count` totals, bounded by the number of all messages.
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

/// Upper bound of the length of all but the listed keys, in bytes.
fn max_head_len(slice: Slice, totals: &WindowTotals) -> usize {
    let counts: usize = totals.complete_counts.iter().map(|senders| varint_len((*senders).into())).sum();
    // Bounds of unlisted keys can exceed the number of messages.
    let largest = totals.messages.max(totals.streams.max_unlisted).max(totals.keys.max_unlisted);
    let total_len = varint_len(largest) + 1;
    // Message kind, round, acknowledged slices and the lengths of two lists; the longest incarnation; four totals.
    5 + varint_len(u64::MAX) + varint_len(slice.0) + counts + 4 * total_len
}

fn encoded_lens(totals: &[KeyTotal]) -> Vec<usize> {
    totals.iter().map(KeyTotal::encoded_len).collect()
}
