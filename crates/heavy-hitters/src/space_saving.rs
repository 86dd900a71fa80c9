//! The SpaceSaving sketch (Metwally, Agrawal, El Abbadi 2005) for weighted additions.
//!
//! Invariant: for each listed key, `count - error <= true count <= count`. The true count of any other key is at most
//! [`floor`](SpaceSaving::floor), which is at most the total divided by the capacity.
//!
//! The entries are indexed by key and by a heap with the lightest entry on top. An addition takes
//! `O(log capacity)` swaps, and memory is proportional to the capacity, about 60 bytes an entry. Equal counts are
//! ordered by a salted hash that is the same at all senders, so that all senders retain the same keys out of
//! those that occurred once.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::key::Key;

/// Maximum count, so that sums over all slices of 65,535 senders fit into 63 bits.
pub(crate) const MAX_COUNT: u64 = 1 << 40;

/// An entry of a sketch: the true count of the key is between `count - error` and `count`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SketchEntry {
    /// The stream or idempotency key.
    pub key: Key,
    /// Upper bound of the key's count.
    pub count: u64,
    /// Maximum part of `count` that may belong to other keys.
    pub error: u64,
}

/// The heaviest keys of a sequence of weighted additions, in bounded memory.
///
/// ```
/// use rudderspindle_heavy_hitters::{Key, SketchEntry, SpaceSaving};
/// let mut sketch = SpaceSaving::new(2, 0);
/// for (key, weight) in [(1, 5), (2, 1), (3, 1)] {
///     sketch.add(Key::new(key), weight);
/// }
/// let heaviest = sketch.heaviest();
/// assert_eq!(heaviest[0], SketchEntry { key: Key::new(1), count: 5, error: 0 });
/// assert_eq!(heaviest[1], SketchEntry { key: Key::new(3), count: 2, error: 1 });
/// assert_eq!(sketch.floor(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct SpaceSaving {
    capacity: usize,
    salt: u64,
    total: u64,
    entries: Vec<SketchEntry>,
    /// Heap of entry indices, the lightest on top.
    heap: Vec<u16>,
    /// The heap position of each entry.
    heap_positions: Vec<u16>,
    /// The entry index of each key.
    index_by_key: BTreeMap<Key, u16>,
}

impl SpaceSaving {
    /// Creates an empty sketch of `capacity` entries (1 to 65,535); `salt` determines the order of equal counts.
    #[must_use]
    pub fn new(capacity: usize, salt: u64) -> Self {
        let capacity = capacity.clamp(1, usize::from(u16::MAX));
        Self {
            capacity,
            salt,
            total: 0,
            entries: Vec::with_capacity(capacity),
            heap: Vec::with_capacity(capacity),
            heap_positions: Vec::with_capacity(capacity),
            index_by_key: BTreeMap::new(),
        }
    }

    /// Adds a weight to the count of a key; beyond a total of 2^40, additions are ignored.
    pub fn add(&mut self, key: Key, weight: u64) {
        self.add_counting_swaps(key, weight);
    }

    /// Does the same as [`add`](Self::add), and returns the number of swaps in the heap.
    pub(crate) fn add_counting_swaps(&mut self, key: Key, weight: u64) -> usize {
        // The total is limited to the maximum, so that all counts stay consistent with it.
        let weight = weight.min(MAX_COUNT - self.total);
        if weight == 0 {
            return 0;
        }
        self.total += weight;
        if let Some(&index) = self.index_by_key.get(&key) {
            self.entries[usize::from(index)].count += weight;
            return self.sift_down(usize::from(self.heap_positions[usize::from(index)]));
        }
        if self.entries.len() < self.capacity {
            return self.push(SketchEntry { key, count: weight, error: 0 });
        }
        self.replace_lightest(key, weight)
    }

    fn push(&mut self, entry: SketchEntry) -> usize {
        let index = self.entries.len() as u16;
        self.entries.push(entry);
        self.heap.push(index);
        self.heap_positions.push(index);
        self.index_by_key.insert(entry.key, index);
        self.sift_up(usize::from(index))
    }

    /// Replaces the lightest entry by one for `key`, whose count may include the replaced key's count.
    fn replace_lightest(&mut self, key: Key, weight: u64) -> usize {
        let index = self.heap[0];
        let entry = &mut self.entries[usize::from(index)];
        self.index_by_key.remove(&entry.key);
        *entry = SketchEntry { key, count: entry.count + weight, error: entry.count };
        self.index_by_key.insert(key, index);
        self.sift_down(0)
    }

    /// The sum of all weights that were added, at most 2^40.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Upper bound of the count of any key without an entry.
    #[must_use]
    pub fn floor(&self) -> u64 {
        if self.entries.len() < self.capacity { 0 } else { self.entries[usize::from(self.heap[0])].count }
    }

    /// Returns all entries in descending order of their counts.
    #[must_use]
    pub fn heaviest(&self) -> Vec<SketchEntry> {
        let mut entries = self.entries.clone();
        entries.sort_unstable_by_key(|entry| Reverse(self.weight(entry)));
        entries
    }

    /// Sort key by which entries are ordered from the lightest to the heaviest.
    fn weight(&self, entry: &SketchEntry) -> (u64, Reverse<u64>, Key) {
        (entry.count, Reverse(entry.key.rank(self.salt)), entry.key)
    }

    /// Whether the entry at one heap position is lighter than the entry at another.
    fn is_lighter(&self, position: usize, other_position: usize) -> bool {
        let entry = |position: usize| &self.entries[usize::from(self.heap[position])];
        self.weight(entry(position)) < self.weight(entry(other_position))
    }

    fn swap(&mut self, position: usize, other_position: usize) {
        self.heap.swap(position, other_position);
        self.heap_positions[usize::from(self.heap[position])] = position as u16;
        self.heap_positions[usize::from(self.heap[other_position])] = other_position as u16;
    }

    /// Moves an entry up to its place in the heap; returns the number of swaps.
    fn sift_up(&mut self, mut position: usize) -> usize {
        let mut swaps = 0;
        while position > 0 && self.is_lighter(position, (position - 1) / 2) {
            self.swap(position, (position - 1) / 2);
            position = (position - 1) / 2;
            swaps += 1;
        }
        swaps
    }

    /// Moves an entry down to its place in the heap; returns the number of swaps.
    fn sift_down(&mut self, mut position: usize) -> usize {
        let mut swaps = 0;
        while let Some(lightest) = self.lightest_child(position)
            && self.is_lighter(lightest, position)
        {
            self.swap(position, lightest);
            position = lightest;
            swaps += 1;
        }
        swaps
    }

    fn lightest_child(&self, position: usize) -> Option<usize> {
        let children = 2 * position + 1..(2 * position + 3).min(self.heap.len());
        children.reduce(|left, right| if self.is_lighter(right, left) { right } else { left })
    }
}
