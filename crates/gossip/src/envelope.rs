//! The envelope around the messages of the fleet view and the permit protocol.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version and [`Kind`] |
//! | 2 | checksum: the low half of the body's CRC-32, little-endian |
//! | up to [`MAX_BODY_LEN`] | the body, encoded with `postcard` |
//!
//! Invariant: a datagram that is truncated, damaged, out of bounds or of an unknown kind is rejected before its content
//! is used.

mod bounded_list;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) use bounded_list::bounded;

/// Maximum length of a body, in bytes: 256 of a datagram, of which 8 are reserved for envelopes and 8 for later use.
pub const MAX_BODY_LEN: usize = 240;
/// Length of the header, in bytes: version and kind, then the checksum.
const HEADER_LEN: usize = 3;
/// Leading byte of the first [`Kind`]; messages of the demand exchange have lower leading bytes.
const FIRST_KIND: u8 = 0x70;

/// The kind of message in an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A sender's own usage and votes, sent to the round's aggregator.
    Report,
    /// The aggregator's response: usage and votes of all senders that reported to it.
    Summary,
    /// The operator's placement rules.
    Rules,
    /// The keys with the most messages.
    HeavyHitters,
    /// Permits that a sender releases, and how many it requests.
    PermitOffer,
    /// Permits that the allocator grants to a sender.
    PermitGrant,
}

impl Kind {
    /// All kinds, in the order of their codes on the wire.
    pub const ALL: [Self; 6] =
        [Self::Report, Self::Summary, Self::Rules, Self::HeavyHitters, Self::PermitOffer, Self::PermitGrant];

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
        "datagram of {0} bytes: must have a header of {HEADER_LEN} bytes and a body of at most {MAX_BODY_LEN}"
    )]
    Length(usize),
    /// The leading byte belongs to another format version or another protocol.
    #[error("datagram kind {0:#04x} is unknown or belongs to another protocol")]
    Kind(u8),
    /// The checksum does not match the body.
    #[error("the checksum does not match the datagram's body")]
    Checksum,
    /// The body is malformed, has a list with too many entries, or has trailing bytes.
    #[error("the datagram's body is malformed, has a list with too many entries, or has trailing bytes")]
    Body,
}

/// Encodes a message as a datagram with a header.
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

/// The content of a datagram whose header and checksum are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The kind of message.
    pub kind: Kind,
    /// The encoded message, to be decoded with [`read`].
    pub body: &'a [u8],
}

/// Checks the header and the checksum of a datagram; the body is not decoded.
///
/// # Errors
///
/// [`EnvelopeError::Length`], [`EnvelopeError::Kind`] or [`EnvelopeError::Checksum`].
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
/// [`EnvelopeError::Body`] if the body is not exactly one valid message.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, EnvelopeError> {
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(EnvelopeError::Body),
    }
}

/// The low half of the body's CRC-32, in little-endian order.
fn checksum(body: &[u8]) -> [u8; 2] {
    let [low, high, ..] = crc32fast::hash(body).to_le_bytes();
    [low, high]
}

#[cfg(test)]
mod tests;
