//! Packing of entries into a datagram: the lengths of encoded numbers, and how many items of two lists fit.

/// Maximum length of the body of a message, in bytes: of the 256 bytes of a datagram, 8 are reserved for the
/// envelope and 8 for later use.
pub const MAX_BODY_LEN: usize = 240;

/// Length of a number in varint encoding, in bytes; each byte holds seven bits of the number.
pub(crate) fn varint_len(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// How many items of each of two lists fit into the available bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PackedCounts {
    pub first: usize,
    pub second: usize,
}

/// Takes items alternately from two lists as long as they fit into `remaining_len` bytes; the lists hold the
/// encoded lengths of the items.
pub(crate) fn pack_alternately(
    remaining_len: usize,
    first_lens: &[usize],
    second_lens: &[usize],
) -> PackedCounts {
    let mut counts = PackedCounts { first: 0, second: 0 };
    let mut remaining_len = remaining_len;
    loop {
        let previous_counts = counts;
        for (lengths, taken) in [(first_lens, &mut counts.first), (second_lens, &mut counts.second)] {
            if let Some(&length) = lengths.get(*taken).filter(|length| **length <= remaining_len) {
                remaining_len -= length;
                *taken += 1;
            }
        }
        if previous_counts == counts {
            return counts;
        }
    }
}
