//! Lengths of numbers, and lists that share a datagram.
use proptest::prelude::{prop_assert_eq, proptest};

use crate::packing::{PackedCounts, pack_alternately, varint_len};

proptest! {
    #[test]
    fn the_length_of_a_number_is_that_of_its_encoding(number: u64) {
        prop_assert_eq!(varint_len(number), postcard::to_allocvec(&number).map_or(0, |bytes| bytes.len()));
    }
}

#[test]
fn lists_take_turns_and_the_longer_one_takes_what_the_other_leaves() {
    assert_eq!(pack_alternately(10, &[2; 9], &[2; 9]), PackedCounts { first: 3, second: 2 });
    assert_eq!(pack_alternately(10, &[2; 9], &[2; 1]), PackedCounts { first: 4, second: 1 });
}
