//! The messages that one sender accepted, by slice of the wall clock.
//!
//! Invariant: only slices within a window of the clock, before or after it, are kept: at most `2 * SLICES_PER_WINDOW + 1`
//! slices of two sketches each, also if the clock is stepped.
//!
//! Slices ahead of a clock that was set back slightly are kept and counted further, as a published total must not decrease.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::digest::Digest;
use crate::key::Key;
use crate::sender_id::Incarnation;
use crate::settings::Settings;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::slice_counts::SliceCounts;

/// The counts of one sender in the slices around the current one.
#[derive(Clone, Debug)]
pub struct SliceCounter {
    slice_ms: u64,
    entries: usize,
    /// The slice in which this process started.
    started_in: Slice,
    /// Whether this sender accepted nothing in the window before the start.
    idle_before: bool,
    counts: BTreeMap<Slice, SliceCounts>,
}

impl SliceCounter {
    /// A counter that starts empty at `now`.
    ///
    /// `idle_before` is whether it is known that no earlier process of this sender accepted a message within the window
    /// before.
    #[must_use]
    pub fn new(settings: &Settings, now: UnixMillis, idle_before: bool) -> Self {
        let slice_ms = settings.slice_ms().max(1);
        Self {
            slice_ms,
            entries: settings.entries,
            started_in: Slice::containing(now, slice_ms),
            idle_before,
            counts: BTreeMap::new(),
        }
    }

    /// Counts one message of a stream, with its idempotency key if it has one.
    pub fn record(&mut self, now: UnixMillis, stream: Key, idempotency_key: Option<Key>) {
        self.discard_expired(now);
        let slice = Slice::containing(now, self.slice_ms);
        let counts = self.counts.entry(slice).or_insert_with(|| SliceCounts::new(slice, self.entries));
        counts.record(stream, idempotency_key);
    }

    /// Discards slices that are more than a window from `now`.
    pub fn discard_expired(&mut self, now: UnixMillis) {
        let current = Slice::containing(now, self.slice_ms);
        self.counts.retain(|slice, _| slice.distance(current) <= SLICES_PER_WINDOW);
    }

    /// The digest of a slice, or `None` for one before the start in which nothing was accepted.
    #[must_use]
    pub fn digest(&self, incarnation: Incarnation, slice: Slice) -> Option<Digest> {
        let counts = self.counts.get(&slice);
        if counts.is_none() && slice < self.started_in {
            return None;
        }
        let complete = slice > self.started_in || (slice == self.started_in && self.idle_before);
        let started_slices_ago = slice
            .0
            .checked_sub(self.started_in.0)
            .filter(|slices| self.idle_before && *slices < SLICES_PER_WINDOW);
        let empty = SliceCounts::new(slice, 1);
        Some(Digest::new(incarnation, slice, counts.unwrap_or(&empty), complete, started_slices_ago))
    }

    /// Number of messages accepted within a slice.
    #[must_use]
    pub fn total(&self, slice: Slice) -> u64 {
        self.counts.get(&slice).map_or(0, |counts| counts.total)
    }

    /// The slices that are kept, in order.
    pub fn slices(&self) -> impl Iterator<Item = Slice> {
        self.counts.keys().copied()
    }
}
