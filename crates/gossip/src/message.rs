//! Messages of the demand exchange: versioned, checksummed datagrams of at most 256 bytes.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | format version and kind |
//! | 2 | checksum: the low half of the CRC-32 of all that follows |
//! | 4 | round, modulo 2^32 |
//! | 2 | number of senders whose loads are included; 1 in a report |
//! | 8 in sums, none in a report | which of the 64 sampled senders are included, a bit for each |
//! | 7 for each limit | identifier (3), demand (1), calls (1), rejected (1) and failed (1) of the last second |
//!
//! All integers are little endian; loads are [encoded in one byte](load_code).

mod load_code;

use crate::limit_id::LimitId;
use crate::load_totals::{LimitLoad, Load};
pub(crate) use load_code::is_zero_when_encoded;
use load_code::{decode_figure, encode_figure};

/// Maximum length of a message, in bytes, as the platform's specification requires.
pub const MAX_MESSAGE_LEN: usize = 256;
/// Length of the header of a report, in bytes.
const HEADER_LEN: usize = 9;
/// Index of the first byte that the checksum covers.
const CHECKSUM_START: usize = 3;
/// Length of the sample bits that follow the header in sums, in bytes.
const SAMPLE_BITS_LEN: usize = 8;
/// Length of the entry of one limit, in bytes.
const ENTRY_LEN: usize = 7;
/// Length of a limit's identifier in an entry, in bytes.
const LIMIT_ID_LEN: usize = 3;
/// Maximum number of limits in a message. It is computed for sums; a report would have space for one more.
pub(crate) const MAX_LIMITS: usize = (MAX_MESSAGE_LEN - HEADER_LEN - SAMPLE_BITS_LEN) / ENTRY_LEN;
/// First byte of a report, version 2.
const REPORT: u8 = 0x61;
/// First byte of sums, version 2.
const SUMS: u8 = 0x62;

/// Why a datagram of the demand exchange was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum GossipError {
    /// The datagram is too short, too long, or truncated within an entry.
    #[error(
        "message of {0} bytes: must have 9 (sums: 17) plus 7 for each limit, and at most {MAX_MESSAGE_LEN}"
    )]
    Length(usize),
    /// The first byte belongs to another format version or another protocol.
    #[error("unknown message kind {0:#04x}: must be 0x61 (report) or 0x62 (sums)")]
    Kind(u8),
    /// The checksum does not match the bytes that it covers.
    #[error("the checksum does not match the message's content")]
    Checksum,
    /// The message belongs to a past or future round, repeats a report, or has sums that do not supersede the stored
    /// ones.
    #[error("the message is of a past or future round, a duplicate report, or superseded sums")]
    WrongRound,
    /// The number of the message's sender is outside the fleet, or this sender's own.
    #[error("the number of the message's sender is outside the fleet, or the receiving sender's own")]
    UnknownSender,
}

/// The kind of a message, with the content that only this kind has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// The loads of the message's sender.
    Report,
    /// The sums of the loads of all senders that reported to the message's sender in a round.
    Sums {
        /// Bits of the sampled senders whose reports are included.
        sample_bits: u64,
    },
}

/// A message of the demand exchange.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GossipMessage {
    pub kind: MessageKind,
    /// The round, modulo 2^32.
    pub round: u32,
    /// Number of senders whose loads are included.
    pub sender_count: u16,
    pub loads: Vec<LimitLoad>,
}

impl GossipMessage {
    /// Encodes the message, limits with the highest sum of demand, rejections and failures first. Limits beyond
    /// [`MAX_LIMITS`] are left out.
    pub(crate) fn encode(mut self) -> Vec<u8> {
        let priority = |entry: &LimitLoad| entry.load.demand + entry.load.rejected + entry.load.failed;
        self.loads.sort_by(|a, b| priority(b).total_cmp(&priority(a)).then(a.limit_id.cmp(&b.limit_id)));
        let kind = match self.kind {
            MessageKind::Report => REPORT,
            MessageKind::Sums { .. } => SUMS,
        };
        let mut bytes = vec![kind, 0, 0];
        bytes.extend(self.round.to_le_bytes());
        bytes.extend(self.sender_count.to_le_bytes());
        if let MessageKind::Sums { sample_bits } = self.kind {
            bytes.extend(sample_bits.to_le_bytes());
        }
        for entry in self.loads.iter().take(MAX_LIMITS) {
            bytes.extend(encode_entry(entry));
        }
        let checksum = checksum(&bytes[CHECKSUM_START..]);
        bytes[1..CHECKSUM_START].copy_from_slice(&checksum);
        bytes
    }

    /// Decodes a datagram. The caller must check the round and the sender of the message.
    ///
    /// # Errors
    ///
    /// [`GossipError::Length`], [`GossipError::Kind`] or [`GossipError::Checksum`].
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, GossipError> {
        let has_sample_bits = match bytes.first() {
            None | Some(&REPORT) => false,
            Some(&SUMS) => true,
            Some(&other) => return Err(GossipError::Kind(other)),
        };
        let sample_bits_len = if has_sample_bits { SAMPLE_BITS_LEN } else { 0 };
        check_length(bytes.len(), HEADER_LEN + sample_bits_len)?;
        if checksum(&bytes[CHECKSUM_START..]) != bytes[1..CHECKSUM_START] {
            return Err(GossipError::Checksum);
        }
        let (header, body) = bytes.split_at(HEADER_LEN);
        let (sample_bits, entries) = body.split_at(sample_bits_len);
        let kind = match sample_bits.try_into() {
            Ok(bits) => MessageKind::Sums { sample_bits: u64::from_le_bytes(bits) },
            Err(_) => MessageKind::Report,
        };
        Ok(Self {
            kind,
            round: u32::from_le_bytes([header[3], header[4], header[5], header[6]]),
            sender_count: u16::from_le_bytes([header[7], header[8]]),
            loads: entries.chunks_exact(ENTRY_LEN).map(decode_entry).collect(),
        })
    }
}

/// Checks that a datagram of this length consists of a header and complete entries.
fn check_length(len: usize, header_len: usize) -> Result<(), GossipError> {
    let is_in_bounds = (header_len..=MAX_MESSAGE_LEN).contains(&len);
    if is_in_bounds && (len - header_len).is_multiple_of(ENTRY_LEN) {
        Ok(())
    } else {
        Err(GossipError::Length(len))
    }
}

/// The low half of the CRC-32 of these bytes, in little-endian order.
fn checksum(bytes: &[u8]) -> [u8; 2] {
    let [low, high, ..] = crc32fast::hash(bytes).to_le_bytes();
    [low, high]
}

fn encode_entry(entry: &LimitLoad) -> [u8; ENTRY_LEN] {
    let [id_0, id_1, id_2, _] = entry.limit_id.0.to_le_bytes();
    let Load { demand, calls, rejected, failed } = entry.load;
    let [demand, calls, rejected, failed] = [demand, calls, rejected, failed].map(encode_figure);
    [id_0, id_1, id_2, demand, calls, rejected, failed]
}

/// Decodes an entry of [`ENTRY_LEN`] bytes.
fn decode_entry(entry: &[u8]) -> LimitLoad {
    let (id, figures) = entry.split_at(LIMIT_ID_LEN);
    let limit_id = LimitId(u32::from_le_bytes([id[0], id[1], id[2], 0]));
    let [demand, calls, rejected, failed] =
        [figures[0], figures[1], figures[2], figures[3]].map(decode_figure);
    LimitLoad { limit_id, load: Load { demand, calls, rejected, failed } }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
