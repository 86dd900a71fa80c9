//! Bounds of the sketch against exact counts.
use std::collections::BTreeMap;

use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

use crate::key::Key;
use crate::space_saving::{MAX_COUNT, SpaceSaving};

proptest! {
    #[test]
    fn every_count_bounds_the_exact_one_and_what_is_missing_is_under_the_floor(
        flow in prop::collection::vec((0_u64..40, 1_u64..20), 0..400),
        capacity in 1_usize..20,
        salt: u64,
    ) {
        let mut sketch = SpaceSaving::new(capacity, salt);
        let mut exact: BTreeMap<Key, u64> = BTreeMap::new();
        for &(key, weight) in &flow {
            let steps = sketch.add_counting_steps(Key::new(key), weight);
            prop_assert!(steps <= capacity.ilog2() as usize, "{steps} steps in a heap of {capacity}");
            *exact.entry(Key::new(key)).or_default() += weight;
        }
        let total: u64 = exact.values().sum();
        prop_assert_eq!(sketch.total(), total);
        prop_assert!(sketch.floor() <= total / capacity as u64);
        let heaviest = sketch.heaviest();
        prop_assert!(heaviest.len() <= capacity);
        prop_assert!(heaviest.is_sorted_by(|left, right| left.count >= right.count));
        for entry in &heaviest {
            let truth = exact.remove(&entry.key).expect("each key is in it once");
            let is_bounded = entry.count - entry.error <= truth && truth <= entry.count;
            prop_assert!(is_bounded, "{truth} of {entry:?}");
        }
        prop_assert!(exact.values().all(|truth| *truth <= sketch.floor()));
        // The counts add up to the total, as each addition is counted in one entry.
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
