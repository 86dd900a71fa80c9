//! Compares the bounds of the sketch with true counts.
use std::collections::BTreeMap;

use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

use crate::key::Key;
use crate::space_saving::{MAX_COUNT, SpaceSaving};

proptest! {
    /// Each entry bounds the true count of its key, and the floor bounds the true counts of all keys without an
    /// entry.
    #[test]
    fn entries_and_floor_bound_the_true_counts(
        additions in prop::collection::vec((0_u64..40, 1_u64..20), 0..400),
        capacity in 1_usize..20,
        salt: u64,
    ) {
        let mut sketch = SpaceSaving::new(capacity, salt);
        let mut true_counts: BTreeMap<Key, u64> = BTreeMap::new();
        for &(key, weight) in &additions {
            let swaps = sketch.add_counting_swaps(Key::new(key), weight);
            prop_assert!(swaps <= capacity.ilog2() as usize, "{swaps} swaps in a heap of {capacity} entries");
            *true_counts.entry(Key::new(key)).or_default() += weight;
        }
        let total: u64 = true_counts.values().sum();
        prop_assert_eq!(sketch.total(), total);
        prop_assert!(sketch.floor() <= total / capacity as u64);
        let heaviest = sketch.heaviest();
        prop_assert!(heaviest.len() <= capacity);
        prop_assert!(heaviest.is_sorted_by(|left, right| left.count >= right.count));
        for entry in &heaviest {
            let true_count = true_counts.remove(&entry.key).expect("each key has at most one entry");
            let is_bounded = entry.count - entry.error <= true_count && true_count <= entry.count;
            prop_assert!(is_bounded, "true count {true_count} is outside {entry:?}");
        }
        prop_assert!(true_counts.values().all(|true_count| *true_count <= sketch.floor()));
        // The counts add up to the total because each addition is counted in exactly one entry.
        prop_assert_eq!(heaviest.iter().map(|entry| entry.count).sum::<u64>(), total);
    }
}

#[test]
fn counts_stop_at_the_maximum_instead_of_overflowing() {
    let mut sketch = SpaceSaving::new(1, 0);
    for key in 0..3 {
        sketch.add(Key::new(key), u64::MAX);
    }
    assert_eq!((sketch.total(), sketch.heaviest()[0].count), (MAX_COUNT, MAX_COUNT));
}
