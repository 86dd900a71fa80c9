//! Packs entries into a datagram: lengths of encoded numbers, and two lists that share a number of bytes.

/// Maximum length of a message's body, in bytes: 256 of a datagram, of which 8 are reserved for envelopes and 8 for later
/// use.
pub const MAX_BODY_LEN: usize = 240;

/// Length of an encoded number, in bytes; each byte holds seven bits.
pub(crate) fn varint_len(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// How many items of each of two lists fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PackedCounts {
    pub first: usize,
    pub second: usize,
}

/// Takes items alternately from two lists, given by their encoded lengths, while they fit into `available` bytes.
pub(crate) fn pack_alternately(available: usize, first: &[usize], second: &[usize]) -> PackedCounts {
    let mut counts = PackedCounts { first: 0, second: 0 };
    let mut available = available;
    loop {
        let before = counts;
        for (lengths, taken) in [(first, &mut counts.first), (second, &mut counts.second)] {
            if let Some(&length) = lengths.get(*taken).filter(|length| **length <= available) {
                available -= length;
                *taken += 1;
            }
        }
        if before == counts {
            return counts;
        }
    }
}
