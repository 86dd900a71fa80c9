//! Max-min fair parts of a limit.
//!
//! Invariant: nobody gets more than it wants, all parts add up to the limit or to all that is wanted, and who gets less
//! than it wants gets no less than anybody else.

use std::collections::BTreeMap;

use crate::Key;

/// The fair part of each stream in a limit, by what each wants (calls a second): filled up evenly until each has what it
/// wants or nothing is left (progressive filling). What is no number or under nothing counts as nothing.
///
/// ```
/// use rudderspindle_heavy_hitters::{Key, max_min};
/// let wants = [(Key::new(1), 1.0), (Key::new(2), 4.0), (Key::new(3), 50.0)].into();
/// let parts = max_min(12.0, &wants);
/// assert_eq!(parts.values().copied().collect::<Vec<f64>>(), [1.0, 4.0, 7.0]);
/// ```
#[must_use]
pub fn max_min(limit: f64, wants: &BTreeMap<Key, f64>) -> BTreeMap<Key, f64> {
    let mut order: Vec<(f64, Key)> = wants.iter().map(|(key, want)| (positive(*want), *key)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut left = positive(limit);
    let mut parts = BTreeMap::new();
    let mut unfilled = order.len();
    for (want, key) in order {
        let part = want.min(left / unfilled as f64);
        left -= part;
        unfilled -= 1;
        parts.insert(key, part);
    }
    parts
}

/// What part of that which a stream wants lies beyond its fair part: it waits first and is shed first. From 0 to 1.
#[must_use]
pub fn beyond(limit: f64, wants: &BTreeMap<Key, f64>, key: Key) -> f64 {
    let want = wants.get(&key).map_or(0.0, |want| positive(*want));
    let part = max_min(limit, wants).get(&key).copied().unwrap_or(0.0);
    if want > 0.0 { (1.0 - part / want).clamp(0.0, 1.0) } else { 0.0 }
}

fn positive(figure: f64) -> f64 {
    // Also if it is no number. Without an upper end two infinities would leave none.
    if figure > 0.0 { figure.min(1e12) } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn nobody_gets_more_than_it_wants_and_who_gets_less_gets_no_less_than_others(
            wants in prop::collection::btree_map(any::<u64>().prop_map(Key::new), 0.0..100.0_f64, 1..30),
            limit in 0.0..1_000.0_f64,
        ) {
            let parts = max_min(limit, &wants);
            let sum: f64 = parts.values().sum();
            let all: f64 = wants.values().sum();
            prop_assert!((sum - limit.min(all)).abs() < 1e-6, "{sum} of {limit}");
            let greatest = parts.values().copied().fold(0.0, f64::max);
            for (key, part) in &parts {
                prop_assert!(*part <= wants[key]);
                prop_assert!(*part >= wants[key] || *part >= greatest - 1e-6);
            }
        }
    }

    #[test]
    fn of_a_storm_beside_modest_streams_only_the_storm_has_something_beyond_its_part() {
        let wants = [(Key::new(1), 5.0), (Key::new(2), 90.0), (Key::new(3), f64::NAN)].into();
        assert_eq!(beyond(50.0, &wants, Key::new(1)), 0.0);
        assert_eq!(beyond(50.0, &wants, Key::new(2)), 0.5);
        assert_eq!(beyond(50.0, &wants, Key::new(3)), 0.0);
        assert_eq!(beyond(f64::INFINITY, &wants, Key::new(2)), 0.0);
    }
}
