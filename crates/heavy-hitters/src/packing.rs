//! How much fits into a datagram: lengths of encoded numbers, and two lists that share the room.

/// Maximum length of a message's body, in bytes: 256 of a datagram, less 8 of its envelope and 8 to spare.
pub const MAX_BODY_LEN: usize = 240;

/// Length of an encoded number, in bytes of seven bits each.
pub(crate) fn varint_len(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// How many items of each of two lists fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PackedCounts {
    pub first: usize,
    pub second: usize,
}

/// Takes items of two lists by turns, given their lengths, as long as they fit into so many bytes.
pub(crate) fn pack_alternately(room: usize, first: &[usize], second: &[usize]) -> PackedCounts {
    let mut counts = PackedCounts { first: 0, second: 0 };
    let mut room = room;
    loop {
        let before = counts;
        for (lengths, taken) in [(first, &mut counts.first), (second, &mut counts.second)] {
            if let Some(&length) = lengths.get(*taken).filter(|length| **length <= room) {
                room -= length;
                *taken += 1;
            }
        }
        if before == counts {
            return counts;
        }
    }
}
