//! Notes as bytes.
//!
//! Invariant: what is encoded is at most [`LONGEST_BODY`] bytes, and what is decoded was: no length in it is believed
//! beyond the bytes that there are.

use serde::{Deserialize, Serialize};

use crate::{Answer, Digest, HotError};

/// The longest body of a note, bytes: 256 of a note less 8 of its envelope, and 8 to spare.
pub const LONGEST_BODY: usize = 240;

/// A note of this kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Note {
    /// What a sender was handed in one pane, to the one that adds up.
    Digest(Digest),
    /// What all were handed, back from there.
    Answer(Answer),
}

impl Note {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Nothing in a note can fail to be encoded into memory: no floats, no maps, no lengths unknown before.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// # Errors
    ///
    /// [`HotError::TooLong`] and [`HotError::Malformed`].
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, HotError> {
        if bytes.len() > LONGEST_BODY {
            return Err(HotError::TooLong);
        }
        let (note, rest) = postcard::take_from_bytes::<Self>(bytes).map_err(|_| HotError::Malformed)?;
        let sound = match &note {
            Self::Digest(digest) => digest.is_sound(),
            Self::Answer(answer) => answer.is_sound(),
        };
        if rest.is_empty() && sound { Ok(note) } else { Err(HotError::Malformed) }
    }
}

/// Bytes of a number as encoded: seven bits in each.
pub(crate) fn length(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// Puts the first of two lists in by turns as long as they fit into so many bytes; how many of each.
pub(crate) fn packed(room: usize, first: &[usize], second: &[usize]) -> (usize, usize) {
    let (mut a, mut b, mut left) = (0, 0, room);
    loop {
        let before = (a, b);
        for (list, taken) in [(first, &mut a), (second, &mut b)] {
            if let Some(&size) = list.get(*taken).filter(|size| **size <= left) {
                left -= size;
                *taken += 1;
            }
        }
        if before == (a, b) {
            return (a, b);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn whatever_bytes_come_are_refused_or_read_without_a_panic(
            bytes in prop::collection::vec(any::<u8>(), 0..300),
        ) {
            if let Ok(note) = Note::decode(&bytes) {
                prop_assert!(note.encode().len() <= LONGEST_BODY);
            }
        }

        #[test]
        fn the_length_of_a_number_is_that_of_its_encoding(number: u64) {
            prop_assert_eq!(length(number), postcard::to_allocvec(&number).map_or(0, |bytes| bytes.len()));
        }
    }

    #[test]
    fn a_declared_length_beyond_the_bytes_and_bytes_beyond_the_note_are_refused() {
        // A digest whose list of streams says 4 billion entries.
        let declared = [0, 1, 1, 1, 0, 5, 0xff, 0xff, 0xff, 0xff, 0x0f, 1];
        assert_eq!(Note::decode(&declared), Err(HotError::Malformed));
        let mut empty = vec![0, 1, 1, 1, 0, 5, 0, 0, 0, 0];
        assert!(Note::decode(&empty).is_ok());
        empty.push(0);
        assert_eq!(Note::decode(&empty), Err(HotError::Malformed));
        assert_eq!(Note::decode(&[0; LONGEST_BODY + 1]), Err(HotError::TooLong));
    }

    #[test]
    fn lists_take_turns_and_the_longer_one_takes_what_the_other_leaves() {
        assert_eq!(packed(10, &[2; 9], &[2; 9]), (3, 2));
        assert_eq!(packed(10, &[2; 9], &[2; 1]), (4, 1));
    }
}
