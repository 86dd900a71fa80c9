//! The digest of a closed slice that a sender publishes.
//!
//! Invariant: the count of a listed key in the slice is between `min` and `min + error`, the count of any other
//! key is at most `max_unlisted`.

use serde::{Deserialize, Serialize};

use crate::key::{KEY_LEN, Key};
use crate::packing::{MAX_BODY_LEN, pack_alternately, varint_len};
use crate::sender_id::Incarnation;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counts::SliceCounts;
use crate::space_saving::{MAX_COUNT, SpaceSaving};

/// A key of a digest, with the bounds of its count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// The stream or idempotency key.
    pub key: Key,
    /// Lower bound of the key's count.
    pub min: u64,
    /// Difference between the upper and the lower bound.
    pub error: u64,
}

impl DigestEntry {
    fn encoded_len(&self) -> usize {
        KEY_LEN + varint_len(self.min) + varint_len(self.error)
    }
}

/// The heaviest keys of a slice, and a bound of all other keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopEntries {
    /// The listed keys in descending order of their upper bounds.
    pub entries: Vec<DigestEntry>,
    /// Upper bound of the count of any key that is not listed.
    pub max_unlisted: u64,
}

impl TopEntries {
    /// Takes the first `count` entries of a sketch. The upper bound of the next entry, which is at least the
    /// floor of the sketch, bounds all keys that are not listed.
    fn first(mut entries: Vec<DigestEntry>, count: usize, floor: u64) -> Self {
        let max_unlisted = entries.get(count).map_or(floor, |next| next.min + next.error);
        entries.truncate(count);
        Self { entries, max_unlisted }
    }

    /// Whether a slice with this total can have these entries.
    fn is_consistent(&self, total: u64) -> bool {
        let is_bounded =
            |entry: &DigestEntry| entry.min.checked_add(entry.error).is_some_and(|max| max <= total);
        // The sum does not overflow because each `min` is at most the total and a datagram holds few entries.
        self.has_distinct_keys()
            && self.max_unlisted <= total
            && self.entries.iter().all(is_bounded)
            && self.entries.iter().map(|entry| entry.min).sum::<u64>() <= total
    }

    fn has_distinct_keys(&self) -> bool {
        let mut keys: Vec<Key> = self.entries.iter().map(|entry| entry.key).collect();
        keys.sort_unstable();
        keys.windows(2).all(|pair| pair[0] != pair[1])
    }
}

/// The digest of a closed slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The process that publishes the digest.
    pub incarnation: Incarnation,
    /// The slice in which the messages were accepted.
    pub slice: Slice,
    /// Whether this process counted the whole slice; otherwise an earlier process may have accepted more messages.
    pub complete: bool,
    /// How many slices before this one the process started, if no message was accepted in the window before its
    /// start; `None` if that is unknown or the start is longer ago than a window.
    pub started_slices_ago: Option<u8>,
    /// Number of messages accepted within the slice.
    pub total: u64,
    /// The heaviest streams of these messages.
    pub streams: TopEntries,
    /// The most frequent idempotency keys of these messages.
    pub idempotency_keys: TopEntries,
}

impl Digest {
    /// Creates the digest of the counts of a slice, with as many of the heaviest keys as fit into a datagram.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        slice: Slice,
        counts: &SliceCounts,
        complete: bool,
        started_slices_ago: Option<u64>,
    ) -> Self {
        let (streams, idempotency_keys) = (entries_of(&counts.streams), entries_of(&counts.idempotency_keys));
        // Bytes: message kind, `complete`, `started_slices_ago` (2), the lengths of two lists; then the
        // incarnation, the slice, and three numbers that are at most the total.
        let head_len = 6 + varint_len(incarnation.0) + varint_len(slice.0) + 3 * varint_len(counts.total);
        let available_len = MAX_BODY_LEN.saturating_sub(head_len);
        let packed =
            pack_alternately(available_len, &encoded_lens(&streams), &encoded_lens(&idempotency_keys));
        Self {
            incarnation,
            slice,
            complete,
            started_slices_ago: started_slices_ago.and_then(|slices| u8::try_from(slices).ok()),
            total: counts.total,
            streams: TopEntries::first(streams, packed.first, counts.streams.floor()),
            idempotency_keys: TopEntries::first(
                idempotency_keys,
                packed.second,
                counts.idempotency_keys.floor(),
            ),
        }
    }

    /// Whether the numbers are consistent with each other.
    pub(crate) fn is_consistent(&self) -> bool {
        let start_is_possible = self
            .started_slices_ago
            .is_none_or(|slices| u64::from(slices) < SLICES_PER_WINDOW && u64::from(slices) <= self.slice.0);
        start_is_possible
            && self.total <= MAX_COUNT
            && self.streams.is_consistent(self.total)
            && self.idempotency_keys.is_consistent(self.total)
    }
}

/// Returns all entries of a sketch in descending order of their upper bounds.
fn entries_of(sketch: &SpaceSaving) -> Vec<DigestEntry> {
    let entries = sketch.heaviest().into_iter();
    entries
        .map(|entry| DigestEntry { key: entry.key, min: entry.count - entry.error, error: entry.error })
        .collect()
}

fn encoded_lens(entries: &[DigestEntry]) -> Vec<usize> {
    entries.iter().map(DigestEntry::encoded_len).collect()
}
