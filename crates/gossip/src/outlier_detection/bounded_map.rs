//! Eviction from maps with a maximum number of entries.

use std::collections::BTreeMap;

/// Removes the entry with the smallest `time` if the map has more than `max_len` entries; of several such entries, removes
/// the one with the smallest key.
pub(super) fn evict_oldest<Key: Ord + Copy, Value, Time: Ord>(
    map: &mut BTreeMap<Key, Value>,
    max_len: usize,
    time: impl Fn(&Value) -> Time,
) {
    if map.len() <= max_len {
        return;
    }
    let oldest = map.iter().min_by_key(|(key, value)| (time(value), **key)).map(|(key, _)| *key);
    if let Some(oldest) = oldest {
        map.remove(&oldest);
    }
}
