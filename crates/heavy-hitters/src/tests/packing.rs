//! Lengths of encoded numbers, and the division of a datagram between two lists.
use proptest::prelude::{prop_assert_eq, proptest};

use crate::packing::{PackedCounts, pack_alternately, varint_len};

proptest! {
    #[test]
    fn varint_len_is_the_length_of_the_encoded_number(number: u64) {
        prop_assert_eq!(varint_len(number), postcard::to_allocvec(&number).map_or(0, |bytes| bytes.len()));
    }
}

/// Items are taken alternately; when one list is used up, the other fills the remaining bytes.
#[test]
fn two_lists_divide_the_available_bytes() {
    assert_eq!(pack_alternately(10, &[2; 9], &[2; 9]), PackedCounts { first: 3, second: 2 });
    assert_eq!(pack_alternately(10, &[2; 9], &[2; 1]), PackedCounts { first: 4, second: 1 });
}
