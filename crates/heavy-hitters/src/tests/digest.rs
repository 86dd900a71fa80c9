//! Bounds of digests.
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
    fn a_digest_fits_a_datagram_and_bounds_every_key_of_its_slice(
        flow in prop::collection::vec((0_u64..300, 1_u64..4_000), 0..500),
        incarnation: u64,
        slice in 5_u64..u64::MAX,
        // Eight keys are all listed, 64 are not.
        entries in prop::sample::select(vec![8, 64]),
    ) {
        let slice = Slice(slice);
        let mut counts = SliceCounts::new(slice, entries);
        let mut exact: BTreeMap<Key, u64> = BTreeMap::new();
        for &(key, weight) in &flow {
            counts.total += weight;
            counts.streams.add(Key::new(key), weight);
            counts.keys.add(Key::new(key), weight);
            *exact.entry(Key::new(key)).or_default() += weight;
        }
        let digest = Digest::new(Incarnation(incarnation), slice, &counts, true, Some(4));
        let bytes = GossipMessage::Digest(digest.clone()).encode();
        prop_assert!(bytes.len() <= MAX_BODY_LEN, "{} bytes", bytes.len());
        prop_assert_eq!(GossipMessage::decode(&bytes), Ok(GossipMessage::Digest(digest.clone())));
        for list in [&digest.streams, &digest.keys] {
            let listed: BTreeMap<Key, (u64, u64)> =
                list.entries.iter().map(|entry| (entry.key, (entry.min, entry.min + entry.error))).collect();
            let is_bounded = |(key, truth): (&Key, &u64)| {
                let (min, max) = listed.get(key).copied().unwrap_or((0, list.max_unlisted));
                min <= *truth && *truth <= max
            };
            prop_assert!(exact.iter().all(is_bounded));
        }
    }
}

#[test]
fn a_digest_that_names_a_key_twice_or_more_than_its_total_is_refused() {
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
