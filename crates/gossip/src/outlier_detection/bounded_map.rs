//! Eviction from maps with a maximum number of entries.

use std::collections::BTreeMap;

/// Removes the entry with the smallest `age`, of equal ones that with the smallest key, if the map has more than `max_len`
/// entries.
pub(super) fn evict_oldest<Key: Ord + Copy, Value, Age: Ord>(
    map: &mut BTreeMap<Key, Value>,
    max_len: usize,
    age: impl Fn(&Value) -> Age,
) {
    if map.len() <= max_len {
        return;
    }
    let oldest = map.iter().min_by_key(|(key, value)| (age(value), **key)).map(|(key, _)| *key);
    if let Some(oldest) = oldest {
        map.remove(&oldest);
    }
}
