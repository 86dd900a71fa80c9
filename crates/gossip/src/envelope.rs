//! The envelope of further kinds of note: a byte for version and kind, the low half of the CRC-32 of what follows, and
//! a body that `postcard` encodes.
//!
//! Invariant: what is not whole, known and within its bounds is an error before anything is made of it.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeOwned, Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// Bytes of a body at most: a note has 256, of which 8 are left to envelopes and 8 to what comes to want room.
pub const MAX_BODY_LEN: usize = 240;
/// Version and kind, and the check.
const HEAD: usize = 3;
/// The first of the further kinds on the wire; those of limits are below.
const FIRST: u8 = 0x70;

/// A kind of note beyond those of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// What a sender counted and judged, to the one that adds up.
    Report,
    /// The answer: what all that reported counted and judged.
    View,
    /// Rules of the operator.
    Rules,
    /// The hottest streams.
    Hot,
    /// Rights that a sender gives up, and asks for.
    PermitOffer,
    /// Rights that it is lent.
    PermitGrant,
}

impl Kind {
    /// All of them, as they are numbered on the wire.
    pub const ALL: [Self; 6] =
        [Self::Report, Self::View, Self::Rules, Self::Hot, Self::PermitOffer, Self::PermitGrant];
}

/// Why a datagram is no note of a further kind, or a body is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum EnvelopeError {
    /// Too short, or too long.
    #[error("a note has {HEAD} bytes and a body of up to {MAX_BODY_LEN}; this has {0} in all")]
    Length(usize),
    /// Another version, or nothing of ours.
    #[error("kind {0:#04x} is not known")]
    Kind(u8),
    /// Damaged.
    #[error("its check does not fit")]
    Check,
    /// The body does not read as its kind, has too much in it, or bytes after its end.
    #[error("its body does not read")]
    Body,
}

/// A note with that body.
///
/// # Errors
///
/// [`EnvelopeError::Length`] where the body is longer than [`MAX_BODY_LEN`].
pub fn seal<T: Serialize>(kind: Kind, body: &T) -> Result<Vec<u8>, EnvelopeError> {
    let body = postcard::to_allocvec(body).map_err(|_| EnvelopeError::Body)?;
    if body.len() > MAX_BODY_LEN {
        return Err(EnvelopeError::Length(HEAD + body.len()));
    }
    let check = crc32fast::hash(&body).to_le_bytes();
    let mut note = vec![FIRST + kind as u8, check[0], check[1]];
    note.extend(body);
    Ok(note)
}

/// The kind of a note, and its body.
///
/// # Errors
///
/// [`EnvelopeError`] says what is wrong with it.
pub fn open(note: &[u8]) -> Result<(Kind, &[u8]), EnvelopeError> {
    let (&[first, low, high], body) =
        note.split_first_chunk::<HEAD>().ok_or(EnvelopeError::Length(note.len()))?;
    let kind = first.checked_sub(FIRST).and_then(|n| Kind::ALL.get(usize::from(n)));
    let kind = *kind.ok_or(EnvelopeError::Kind(first))?;
    if body.len() > MAX_BODY_LEN {
        return Err(EnvelopeError::Length(note.len()));
    }
    if crc32fast::hash(body).to_le_bytes()[..2] != [low, high] {
        return Err(EnvelopeError::Check);
    }
    Ok((kind, body))
}

/// What a body says.
///
/// # Errors
///
/// [`EnvelopeError::Body`], also for bytes after its end.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, EnvelopeError> {
    match postcard::take_from_bytes(body) {
        Ok((read, [])) => Ok(read),
        _ => Err(EnvelopeError::Body),
    }
}

/// A list of at most `MOST` entries: one that declares more is an error before room is made for it.
pub(crate) fn bounded<'de, const MOST: usize, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    struct Bounded<const MOST: usize, T>(PhantomData<T>);
    impl<'de, const MOST: usize, T: Deserialize<'de>> Visitor<'de> for Bounded<MOST, T> {
        type Value = Vec<T>;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "at most {MOST} entries")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<T>, A::Error> {
            let mut read = Vec::new();
            while let Some(entry) = entries.next_element()? {
                if read.len() == MOST {
                    return Err(A::Error::invalid_length(MOST + 1, &self));
                }
                read.push(entry);
            }
            Ok(read)
        }
    }
    deserializer.deserialize_seq(Bounded::<MOST, T>(PhantomData))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct Few(#[serde(deserialize_with = "bounded::<3, _, _>")] Vec<u16>);

    #[test]
    fn what_is_cut_damaged_too_long_or_unknown_is_no_note() {
        let good = seal(Kind::Hot, &Few(vec![1, 2, 300])).expect("short enough");
        assert_eq!(
            open(&good).map(|(kind, body)| (kind, read(body))),
            Ok((Kind::Hot, Ok(Few(vec![1, 2, 300]))))
        );
        for length in 0..good.len() {
            assert!(open(&good[..length]).is_err(), "{length} bytes of it");
        }
        for byte in 0..good.len() {
            let mut bad = good.clone();
            bad[byte] ^= 0x10;
            assert!(open(&bad).is_err(), "byte {byte} changed");
        }
        assert_eq!(open(&[0x61, 0, 0]), Err(EnvelopeError::Kind(0x61)));
        assert_eq!(open(&[0x70; 300]), Err(EnvelopeError::Length(300)));
        assert!(matches!(seal(Kind::Hot, &vec![7_u8; 250]), Err(EnvelopeError::Length(_))));
    }

    #[test]
    fn a_list_over_its_bound_a_length_that_is_a_lie_and_bytes_after_the_end_are_errors() {
        assert_eq!(read::<Few>(&[3, 1, 2, 3]), Ok(Few(vec![1, 2, 3])));
        for bad in [&[4, 1, 2, 3, 4][..], &[0xff, 0xff, 0xff, 0xff, 0x0f, 1], &[1, 1, 1], &[2, 1]] {
            assert_eq!(read::<Few>(bad), Err(EnvelopeError::Body), "{bad:?}");
        }
    }
}
