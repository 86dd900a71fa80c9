//! Size, bounds and consistency of digests.
use std::collections::BTreeMap;

use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

use crate::digest::{Digest, DigestEntry};
use crate::gossip_message::GossipMessage;
use crate::key::Key;
use crate::packing::MAX_BODY_LEN;
use crate::sender_id::Incarnation;
use crate::slice::Slice;
use crate::slice_counts::SliceCounts;

proptest! {
    #[test]
    fn a_digest_fits_a_datagram_and_bounds_every_key(
        additions in prop::collection::vec((0_u64..300, 1_u64..4_000), 0..500),
        incarnation: u64,
        slice in 5_u64..u64::MAX,
        // With 8 entries, a digest lists all of them; with 64, they do not fit.
        sketch_capacity in prop::sample::select(vec![8, 64]),
    ) {
        let slice = Slice(slice);
        let mut counts = SliceCounts::new(slice, sketch_capacity);
        let mut true_counts: BTreeMap<Key, u64> = BTreeMap::new();
        for &(key, weight) in &additions {
            counts.total += weight;
            counts.streams.add(Key::new(key), weight);
            counts.idempotency_keys.add(Key::new(key), weight);
            *true_counts.entry(Key::new(key)).or_default() += weight;
        }
        let digest = Digest::new(Incarnation(incarnation), slice, &counts, true, Some(4));
        let bytes = GossipMessage::Digest(digest.clone()).encode();
        prop_assert!(bytes.len() <= MAX_BODY_LEN, "{} bytes", bytes.len());
        prop_assert_eq!(GossipMessage::decode(&bytes), Ok(GossipMessage::Digest(digest.clone())));
        for top_entries in [&digest.streams, &digest.idempotency_keys] {
            let bounds_by_key: BTreeMap<Key, (u64, u64)> =
                top_entries.entries.iter()
                    .map(|entry| (entry.key, (entry.min, entry.min + entry.error))).collect();
            let is_bounded = |(key, true_count): (&Key, &u64)| {
                let (min, max) = bounds_by_key.get(key).copied().unwrap_or((0, top_entries.max_unlisted));
                min <= *true_count && *true_count <= max
            };
            prop_assert!(true_counts.iter().all(is_bounded));
        }
    }
}

/// A digest is inconsistent if a key is listed twice, or if an entry or the sum of all entries exceeds the total.
#[test]
fn a_digest_with_impossible_entries_is_inconsistent() {
    let slice = Slice(9);
    let mut digest = Digest::new(Incarnation(1), slice, &SliceCounts::new(slice, 16), true, None);
    let entry = |key, min, error| DigestEntry { key: Key::new(key), min, error };
    digest.total = 10;
    digest.streams.entries = vec![entry(1, 4, 1), entry(2, 4, 0)];
    assert!(digest.is_consistent());
    let duplicate = vec![entry(1, 4, 0), entry(1, 4, 0)];
    let over_total = vec![entry(1, 4, 7)];
    let overflow = vec![entry(1, u64::MAX, 2)];
    let sum_over_total = vec![entry(1, 6, 0), entry(2, 5, 0)];
    for entries in [duplicate, over_total, overflow, sum_over_total] {
        digest.streams.entries = entries;
        assert!(!digest.is_consistent(), "{digest:?}");
    }
}
