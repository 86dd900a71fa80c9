//! SpaceSaving (Metwally, Agrawal, El Abbadi 2005) with weights.
//!
//! Invariant: for each key, `count - error <= what was handed in of it <= count`, and of a key that is not in it at most
//! [`floor`](SpaceSaving::floor), which is at most the total over the capacity.
//!
//! Entries stay where they are; a heap of their places has the least on top, and each knows its place in the heap. So a
//! hand-in costs one look-up and a way through the heap, `O(log capacity)`, and memory is that of the capacity: some
//! 60 bytes an entry (32 of the entry, 4 of the heap, the rest of the index), whatever the number of keys. Equal counts
//! are ordered by a draw from the salt, the same at every sender: of keys that came once, all keep the same ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Key;

/// Counts go no further: sums of all panes of 65,535 senders still fit 63 bits.
pub(crate) const MOST_COUNT: u64 = 1 << 40;

/// What a sketch knows of a key: between `count - error` and `count`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counted {
    /// Which key.
    pub key: Key,
    /// The most that was handed in of it.
    pub count: u64,
    /// How much of that may have been of others.
    pub error: u64,
}

/// The heaviest keys of a flow in fixed memory.
///
/// ```
/// use rudderspindle_heavy_hitters::{Key, SpaceSaving};
/// let mut sketch = SpaceSaving::new(2, 0);
/// for (key, weight) in [(1, 5), (2, 1), (3, 1)] {
///     sketch.add(Key::new(key), weight);
/// }
/// let heaviest = sketch.heaviest();
/// assert_eq!((heaviest[0].key, heaviest[0].count, heaviest[0].error), (Key::new(1), 5, 0));
/// assert_eq!((heaviest[1].key, heaviest[1].count, heaviest[1].error), (Key::new(3), 2, 1));
/// assert_eq!(sketch.floor(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct SpaceSaving {
    capacity: usize,
    salt: u64,
    total: u64,
    entries: Vec<Counted>,
    /// Places of entries, the least on top.
    heap: Vec<u16>,
    /// Where each entry stands in the heap.
    stands: Vec<u16>,
    places: BTreeMap<Key, u16>,
}

impl SpaceSaving {
    /// An empty one for so many entries (1 to 65,535), whose ties are drawn from the salt.
    #[must_use]
    pub fn new(capacity: usize, salt: u64) -> Self {
        let capacity = capacity.clamp(1, usize::from(u16::MAX));
        Self {
            capacity,
            salt,
            total: 0,
            entries: Vec::with_capacity(capacity),
            heap: Vec::with_capacity(capacity),
            stands: Vec::with_capacity(capacity),
            places: BTreeMap::new(),
        }
    }

    /// Takes in so much of a key.
    pub fn add(&mut self, key: Key, weight: u64) {
        self.take_in(key, weight);
    }

    /// As [`add`](Self::add); how many places of the heap were passed.
    fn take_in(&mut self, key: Key, weight: u64) -> usize {
        // Past the most nothing is counted, so that all figures agree.
        let weight = weight.min(MOST_COUNT - self.total);
        if weight == 0 {
            return 0;
        }
        self.total += weight;
        if let Some(&place) = self.places.get(&key) {
            self.entries[usize::from(place)].count += weight;
            return self.sink(usize::from(self.stands[usize::from(place)]));
        }
        if self.entries.len() < self.capacity {
            let place = self.entries.len() as u16;
            self.entries.push(Counted { key, count: weight, error: 0 });
            self.heap.push(place);
            self.stands.push(place);
            self.places.insert(key, place);
            return self.rise(usize::from(place));
        }
        let place = self.heap[0];
        let entry = &mut self.entries[usize::from(place)];
        self.places.remove(&entry.key);
        *entry = Counted { key, count: entry.count + weight, error: entry.count };
        self.places.insert(key, place);
        self.sink(0)
    }

    /// All that was handed in.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The most that a key can have that is not in it.
    #[must_use]
    pub fn floor(&self) -> u64 {
        if self.entries.len() < self.capacity { 0 } else { self.entries[usize::from(self.heap[0])].count }
    }

    /// Its entries, the heaviest first.
    #[must_use]
    pub fn heaviest(&self) -> Vec<Counted> {
        let mut entries = self.entries.clone();
        entries.sort_unstable_by_key(|e| Reverse(self.weight(e)));
        entries
    }

    /// By what entries are ordered.
    fn weight(&self, entry: &Counted) -> (u64, Reverse<u64>, Key) {
        (entry.count, Reverse(entry.key.rank(self.salt)), entry.key)
    }

    fn is_lighter(&self, a: usize, b: usize) -> bool {
        let entry = |stand: usize| &self.entries[usize::from(self.heap[stand])];
        self.weight(entry(a)) < self.weight(entry(b))
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.stands[usize::from(self.heap[a])] = a as u16;
        self.stands[usize::from(self.heap[b])] = b as u16;
    }

    fn rise(&mut self, mut stand: usize) -> usize {
        let mut passed = 0;
        while stand > 0 && self.is_lighter(stand, (stand - 1) / 2) {
            self.swap(stand, (stand - 1) / 2);
            stand = (stand - 1) / 2;
            passed += 1;
        }
        passed
    }

    fn sink(&mut self, mut stand: usize) -> usize {
        let mut passed = 0;
        loop {
            let children = 2 * stand + 1..(2 * stand + 3).min(self.heap.len());
            let Some(least) = children.reduce(|a, b| if self.is_lighter(b, a) { b } else { a }) else {
                break;
            };
            if !self.is_lighter(least, stand) {
                break;
            }
            self.swap(stand, least);
            stand = least;
            passed += 1;
        }
        passed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn every_count_holds_the_exact_one_and_what_is_missing_is_under_the_floor(
            flow in prop::collection::vec((0_u64..40, 1_u64..20), 0..400),
            capacity in 1_usize..20,
            salt: u64,
        ) {
            let mut sketch = SpaceSaving::new(capacity, salt);
            let mut exact: BTreeMap<Key, u64> = BTreeMap::new();
            for &(key, weight) in &flow {
                let passed = sketch.take_in(Key::new(key), weight);
                prop_assert!(passed <= capacity.ilog2() as usize, "{passed} places of a heap of {capacity}");
                *exact.entry(Key::new(key)).or_default() += weight;
            }
            let total: u64 = exact.values().sum();
            prop_assert_eq!(sketch.total(), total);
            prop_assert!(sketch.floor() <= total / capacity as u64);
            let heaviest = sketch.heaviest();
            prop_assert!(heaviest.len() <= capacity && heaviest.is_sorted_by(|a, b| a.count >= b.count));
            for e in &heaviest {
                let truth = exact.remove(&e.key).expect("each key is in it once");
                prop_assert!(e.count - e.error <= truth && truth <= e.count, "{truth} of {e:?}");
            }
            prop_assert!(exact.values().all(|truth| *truth <= sketch.floor()));
            // Counts add up to all, as each hand-in is counted in one entry.
            prop_assert_eq!(heaviest.iter().map(|e| e.count).sum::<u64>(), total);
        }
    }

    #[test]
    fn counts_stop_at_the_most_instead_of_turning_over() {
        let mut sketch = SpaceSaving::new(1, 0);
        for key in 0..3 {
            sketch.add(Key::new(key), u64::MAX);
        }
        assert_eq!((sketch.total(), sketch.heaviest()[0].count), (MOST_COUNT, MOST_COUNT));
    }
}
