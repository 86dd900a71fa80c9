//! The envelope around the messages of the fleet view and the permit protocol.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version and [`Kind`] |
//! | 2 | checksum: the low half of the body's CRC-32, little-endian |
//! | up to [`MAX_BODY_LEN`] | the body, encoded with `postcard` |
//!
//! Invariant: a datagram that is truncated, damaged, unknown or out of bounds is rejected before its content is used.

mod bounded_list;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) use bounded_list::bounded;

/// Maximum length of a body, in bytes: 256 of a datagram, of which 8 are reserved for envelopes and 8 for later use.
pub const MAX_BODY_LEN: usize = 240;
/// Length of the header, in bytes: version and kind, then the checksum.
const HEADER_LEN: usize = 3;
/// Leading byte of the first [`Kind`]; lower values are the kinds of demand messages.
const FIRST_KIND: u8 = 0x70;

/// The kind of message in an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A sender's own usage and votes, sent to the round's aggregator.
    Report,
    /// The aggregator's answer: usage and votes of all senders that reported to it.
    Summary,
    /// The operator's placement rules.
    Rules,
    /// The heaviest keys.
    Hot,
    /// Permits that a sender releases, and how many it requests.
    PermitOffer,
    /// Permits that are granted to a sender.
    PermitGrant,
}

impl Kind {
    /// All kinds, in the order of their codes on the wire.
    pub const ALL: [Self; 6] =
        [Self::Report, Self::Summary, Self::Rules, Self::Hot, Self::PermitOffer, Self::PermitGrant];

    fn from_leading_byte(byte: u8) -> Option<Self> {
        let code = byte.checked_sub(FIRST_KIND)?;
        Self::ALL.get(usize::from(code)).copied()
    }
}

/// Why a datagram or a body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum EnvelopeError {
    /// The datagram is shorter than a header, or its body is longer than [`MAX_BODY_LEN`].
    #[error(
        "a datagram has a header of {HEADER_LEN} bytes and a body of up to {MAX_BODY_LEN}; this has {0} in all"
    )]
    Length(usize),
    /// The leading byte is of another version, or of another protocol.
    #[error("kind {0:#04x} is not known")]
    Kind(u8),
    /// The checksum does not match the body.
    #[error("the checksum does not match")]
    Checksum,
    /// The body is malformed, exceeds a bound, or has trailing bytes.
    #[error("the body is malformed")]
    Body,
}

/// Encodes a message into a datagram.
///
/// # Errors
///
/// [`EnvelopeError::Length`] if the encoded body is longer than [`MAX_BODY_LEN`].
pub fn seal<T: Serialize>(kind: Kind, body: &T) -> Result<Vec<u8>, EnvelopeError> {
    let body = postcard::to_allocvec(body).map_err(|_| EnvelopeError::Body)?;
    if body.len() > MAX_BODY_LEN {
        return Err(EnvelopeError::Length(HEADER_LEN + body.len()));
    }
    let [low, high] = checksum(&body);
    let mut datagram = vec![FIRST_KIND + kind as u8, low, high];
    datagram.extend(body);
    Ok(datagram)
}

/// A datagram whose envelope has been checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The kind of message.
    pub kind: Kind,
    /// The encoded message, for [`read`].
    pub body: &'a [u8],
}

/// Checks a datagram's envelope.
///
/// # Errors
///
/// [`EnvelopeError`], except [`EnvelopeError::Body`].
pub fn open(datagram: &[u8]) -> Result<Envelope<'_>, EnvelopeError> {
    let (&[leading, low, high], body) =
        datagram.split_first_chunk::<HEADER_LEN>().ok_or(EnvelopeError::Length(datagram.len()))?;
    let kind = Kind::from_leading_byte(leading).ok_or(EnvelopeError::Kind(leading))?;
    if body.len() > MAX_BODY_LEN {
        return Err(EnvelopeError::Length(datagram.len()));
    }
    if checksum(body) != [low, high] {
        return Err(EnvelopeError::Checksum);
    }
    Ok(Envelope { kind, body })
}

/// Decodes a message from the body of an envelope.
///
/// # Errors
///
/// [`EnvelopeError::Body`], also for trailing bytes.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, EnvelopeError> {
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(EnvelopeError::Body),
    }
}

fn checksum(body: &[u8]) -> [u8; 2] {
    let [low, high, ..] = crc32fast::hash(body).to_le_bytes();
    [low, high]
}

#[cfg(test)]
mod tests;
