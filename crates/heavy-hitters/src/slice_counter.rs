//! Counts the messages that one sender accepted, by slice of the wall clock.
//!
//! Invariant: only slices at most a window before or after the current one are stored: at most `2 *
//! SLICES_PER_WINDOW + 1` slices with two sketches each, even if the clock is stepped.
//!
//! If the clock is set back slightly, the slices ahead of it remain stored and their counts continue, because a
//! published total must not decrease.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::digest::Digest;
use crate::key::Key;
use crate::sender_id::Incarnation;
use crate::settings::Settings;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counts::SliceCounts;

/// The counts of one sender for the slices around the current one.
#[derive(Clone, Debug)]
pub struct SliceCounter {
    slice_ms: u64,
    sketch_capacity: usize,
    /// The slice in which this process started.
    start_slice: Slice,
    /// Whether it is known that this sender accepted no message in the window before the start.
    idle_before: bool,
    counts: BTreeMap<Slice, SliceCounts>,
}

impl SliceCounter {
    /// Creates an empty counter at `now`.
    ///
    /// Set `idle_before` only if it is known that no earlier process of this sender accepted a message within
    /// the window before `now`.
    #[must_use]
    pub fn new(settings: &Settings, now: UnixMillis, idle_before: bool) -> Self {
        let slice_ms = settings.slice_ms().max(1);
        Self {
            slice_ms,
            sketch_capacity: settings.entries,
            start_slice: Slice::containing(now, slice_ms),
            idle_before,
            counts: BTreeMap::new(),
        }
    }

    /// Counts one message of a stream, with its idempotency key if it has one.
    pub fn record(&mut self, now: UnixMillis, stream: Key, idempotency_key: Option<Key>) {
        self.discard_expired(now);
        let slice = Slice::containing(now, self.slice_ms);
        let counts =
            self.counts.entry(slice).or_insert_with(|| SliceCounts::new(slice, self.sketch_capacity));
        counts.record(stream, idempotency_key);
    }

    /// Discards slices that are more than a window before or after `now`.
    pub fn discard_expired(&mut self, now: UnixMillis) {
        let current = Slice::containing(now, self.slice_ms);
        self.counts.retain(|slice, _| slice.distance(current) <= SLICES_PER_WINDOW);
    }

    /// Returns the digest of a slice; `None` for a slice before the start in which this process accepted no message.
    #[must_use]
    pub fn digest(&self, incarnation: Incarnation, slice: Slice) -> Option<Digest> {
        let counts = self.counts.get(&slice);
        if counts.is_none() && slice < self.start_slice {
            return None;
        }
        let complete = slice > self.start_slice || (slice == self.start_slice && self.idle_before);
        let started_slices_ago = slice
            .0
            .checked_sub(self.start_slice.0)
            .filter(|slices| self.idle_before && *slices < SLICES_PER_WINDOW);
        let empty = SliceCounts::new(slice, 1);
        Some(Digest::new(incarnation, slice, counts.unwrap_or(&empty), complete, started_slices_ago))
    }

    /// Number of messages accepted within a slice.
    #[must_use]
    pub fn total(&self, slice: Slice) -> u64 {
        self.counts.get(&slice).map_or(0, |counts| counts.total)
    }

    /// The stored slices in ascending order.
    pub fn slices(&self) -> impl Iterator<Item = Slice> {
        self.counts.keys().copied()
    }
}
