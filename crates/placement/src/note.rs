//! Notes between senders as bytes.
//!
//! Invariant: whatever the bytes, reading them ends in a note within its bounds or in an error, and reserves no room that
//! a sender only says it needs: lists are arrays of fixed length, or slices of the bytes themselves.
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::held::{MOST_HELD, Tag};

/// Longest body of a note, bytes: 256 in a datagram, less 8 for the envelope and 8 to spare.
pub const LONGEST_BODY: usize = 240;

/// Bytes of a rule set in one part: a body less kind (1), tag (20), place (2) and length (2), rounded down.
pub(crate) const PART_BYTES: usize = 200;

/// Most parts of a rule set: 256 tenants of 15 bytes and 25 bytes beside them are 3,865.
pub(crate) const MOST_PARTS: usize = 20;

/// Most different choices of tags that a word can tell apart; 3 bits a sender are these and two more.
pub(crate) const MOST_STANDS: usize = 6;

/// Why a note is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoteError {
    /// No note is longer than [`LONGEST_BODY`].
    #[error("{0} bytes: at most {LONGEST_BODY} are a note")]
    Length(usize),
    /// Not a note, or more than one.
    #[error("the bytes are not one note")]
    Encoding,
    /// A field outside its bounds.
    #[error("{0} is out of bounds")]
    Bounds(&'static str),
    /// From a sender that is not of this fleet, or has no say in it.
    #[error("sender {0} has no say in this")]
    Sender(u16),
    /// Of a round that is long over or has not begun.
    #[error("round {0} is not now")]
    Round(u64),
}

/// What a sender says of itself to a round's adders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Statement {
    pub round: u64,
    /// Wall time at which it was made, ms.
    pub at: u64,
    pub incarnation: u64,
    /// How many senders it thinks there are.
    pub senders: u16,
    /// Whether it counts: not so between a start without state and its recovery.
    pub full: bool,
    /// What is kept in its folder.
    pub tags: [Tag; MOST_HELD],
    /// Which of them it states as held, as bits; the others it only hands on.
    pub stated: u8,
}

/// What an adder has heard in a round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Word<'a> {
    pub round: u64,
    pub senders: u16,
    pub tags: [Tag; MOST_HELD],
    /// What some senders have and state of `tags`: bits 0 to 3 and 4 to 7.
    pub stands: [u8; MOST_STANDS],
    /// 3 bits for each sender: 0 not heard, 1 without state, else a place in `stands` and 2.
    #[serde(borrow)]
    pub codes: &'a [u8],
}

/// A wish for parts of a rule set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Ask {
    pub tag: Tag,
    /// Bit `i`: part `i` is wanted.
    pub parts: u32,
}

/// Part `index` of `of` of a rule set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part<'a> {
    pub tag: Tag,
    pub index: u8,
    pub of: u8,
    #[serde(borrow)]
    pub bytes: &'a [u8],
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Note<'a> {
    Statement(Statement),
    #[serde(borrow)]
    Word(Word<'a>),
    Ask(Ask),
    #[serde(borrow)]
    Part(Part<'a>),
}

impl<'a> Note<'a> {
    /// The bytes; empty where they would be too many, which the bounds on all fields rule out.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        debug_assert!(!bytes.is_empty() && bytes.len() <= LONGEST_BODY);
        if bytes.len() <= LONGEST_BODY { bytes } else { Vec::new() }
    }

    pub fn decode(bytes: &'a [u8]) -> Result<Note<'a>, NoteError> {
        if bytes.len() > LONGEST_BODY {
            return Err(NoteError::Length(bytes.len()));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((note, [])) => Note::within_bounds(note),
            _ => Err(NoteError::Encoding),
        }
    }

    fn within_bounds(note: Note<'a>) -> Result<Note<'a>, NoteError> {
        match &note {
            Note::Statement(_) | Note::Word(_) => {}
            Note::Ask(ask) if ask.parts == 0 || ask.tag.revision == 0 => {
                return Err(NoteError::Bounds("a wish"));
            }
            Note::Ask(_) => {}
            Note::Part(part) => {
                let placed = usize::from(part.of) <= MOST_PARTS && part.index < part.of;
                if !placed || part.bytes.len() > PART_BYTES {
                    return Err(NoteError::Bounds("a part"));
                }
            }
        }
        Ok(note)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::MOST_SENDERS;

    const LARGE: Tag = Tag { revision: u64::MAX, hash: u64::MAX };

    #[test]
    fn the_largest_note_of_each_kind_fits_a_body() {
        let statement = Statement {
            round: u64::MAX,
            at: u64::MAX,
            incarnation: u64::MAX,
            senders: u16::MAX,
            full: true,
            tags: [LARGE; MOST_HELD],
            stated: 255,
        };
        let codes = [255; (MOST_SENDERS as usize * 3).div_ceil(8)];
        let word = Word {
            round: u64::MAX,
            senders: u16::MAX,
            tags: [LARGE; MOST_HELD],
            stands: [255; MOST_STANDS],
            codes: &codes,
        };
        let part =
            Part { tag: LARGE, index: MOST_PARTS as u8 - 1, of: MOST_PARTS as u8, bytes: &[255; PART_BYTES] };
        let ask = Ask { tag: LARGE, parts: u32::MAX };
        for note in [Note::Statement(statement), Note::Word(word), Note::Ask(ask), Note::Part(part)] {
            let bytes = note.encode();
            assert!(bytes.len() <= LONGEST_BODY, "{} bytes", bytes.len());
            assert_eq!(Note::decode(&bytes), Ok(note.clone()));
            let longer = [&bytes[..], &[0]].concat();
            assert!(Note::decode(&longer).is_err(), "a byte behind the note");
        }
    }

    #[test]
    fn a_length_that_the_bytes_do_not_have_is_an_error() {
        let mut bytes = Note::Part(Part { tag: LARGE, index: 0, of: 1, bytes: &[] }).encode();
        bytes.pop();
        bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
        assert_eq!(Note::decode(&bytes), Err(NoteError::Encoding));
    }
}
