//! Messages between senders and their encoding.
//!
//! Invariant: decoding any bytes returns a message within its bounds or an error, and allocates no memory for lengths beyond
//! the received bytes: lists are arrays of fixed length or slices of the bytes.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::round::Round;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::sender_id::{Incarnation, SenderId};

/// Maximum length of an encoded message, in bytes: 256 of a datagram, of which 8 are reserved for envelopes and 8 for later
/// use.
pub const MAX_BODY_LEN: usize = 240;

/// Maximum length of a part of a rule set, in bytes: a body without kind (1), id (20), position (2) and length (2), rounded
/// down.
pub(crate) const MAX_PART_LEN: usize = 200;

/// Maximum number of parts of a rule set: 256 tenants of 15 bytes and 25 bytes beside them are 3,865.
pub(crate) const MAX_PARTS: usize = 20;

/// Maximum number of different slot masks in a summary: the 3 bits of each sender encode these and two other reports.
pub(crate) const MAX_SLOT_MASKS: usize = 6;

/// Why a received message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GossipError {
    /// The bytes are longer than [`MAX_BODY_LEN`].
    #[error("{0} bytes: a message has at most {MAX_BODY_LEN}")]
    TooLong(usize),
    /// The bytes are not one message.
    #[error("the bytes are not one message")]
    Malformed,
    /// A request names no rule set or no part.
    #[error("a request for parts is out of bounds")]
    InvalidPartRequest,
    /// A part has an impossible position or is too long.
    #[error("a part is out of bounds")]
    InvalidPart,
    /// The number of senders differs from that of the settings.
    #[error("the number of senders is another one")]
    SenderCountMismatch,
    /// A summary is inconsistent.
    #[error("a summary reports a rule set that it does not name")]
    InvalidSummary,
    /// The sender is not in this fleet, or not an aggregator of the message's round.
    #[error("sender {0} has no say in this")]
    UnexpectedSender(SenderId),
    /// The round is over or has not begun.
    #[error("round {} is not now", .0.number())]
    RoundNotCurrent(Round),
}

/// One sender's report to the aggregators of a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub round: Round,
    /// When it was made.
    pub sent_at: UnixMillis,
    pub incarnation: Incarnation,
    /// Number of senders in its settings.
    pub sender_count: u16,
    /// Whether its acknowledgements count; false between a start without state and the recovery.
    pub voting: bool,
    /// The rule sets in its state folder.
    pub rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// The acknowledged ones, one bit each; the others are only announced.
    pub acknowledged: u8,
}

/// The encoded form of a `RoundSummary`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedSummary<'a> {
    pub round: Round,
    pub sender_count: u16,
    pub rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// The `rule_sets` that senders store (bits 0 to 3) and acknowledge (bits 4 to 7).
    pub slot_masks: [u8; MAX_SLOT_MASKS],
    /// 3 bits for each sender: 0 missing, 1 not voting, else 2 and an index of `slot_masks`.
    #[serde(borrow)]
    pub report_codes: &'a [u8],
}

/// A request for parts of a rule set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PartRequest {
    pub rule_set: RuleSetId,
    /// Bit `i`: part `i` is requested.
    pub parts: u32,
}

/// One part of an encoded rule set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RuleSetPart<'a> {
    pub rule_set: RuleSetId,
    pub index: u8,
    /// Number of parts of the rule set.
    pub part_count: u8,
    #[serde(borrow)]
    pub bytes: &'a [u8],
}

/// A message between senders; the first encoded byte is the number of the variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipMessage<'a> {
    Heartbeat(Heartbeat),
    #[serde(borrow)]
    Summary(EncodedSummary<'a>),
    PartRequest(PartRequest),
    #[serde(borrow)]
    Part(RuleSetPart<'a>),
}

impl<'a> GossipMessage<'a> {
    /// The encoded message; empty if it is too long, which the bounds of all fields prevent.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        debug_assert!(!bytes.is_empty() && bytes.len() <= MAX_BODY_LEN);
        if bytes.len() <= MAX_BODY_LEN { bytes } else { Vec::new() }
    }

    /// Decodes `bytes`, which must be exactly one message.
    pub fn decode(bytes: &'a [u8]) -> Result<GossipMessage<'a>, GossipError> {
        if bytes.len() > MAX_BODY_LEN {
            return Err(GossipError::TooLong(bytes.len()));
        }
        let Ok((message, [])) = postcard::take_from_bytes::<GossipMessage>(bytes) else {
            return Err(GossipError::Malformed);
        };
        match &message {
            GossipMessage::PartRequest(request) if !request.is_within_bounds() => {
                Err(GossipError::InvalidPartRequest)
            }
            GossipMessage::Part(part) if !part.is_within_bounds() => Err(GossipError::InvalidPart),
            _ => Ok(message),
        }
    }
}

impl PartRequest {
    fn is_within_bounds(&self) -> bool {
        self.parts != 0 && self.rule_set.is_some()
    }

    /// Whether the part with this index is requested.
    pub fn includes(&self, index: usize) -> bool {
        self.parts >> index & 1 == 1
    }
}

impl RuleSetPart<'_> {
    fn is_within_bounds(&self) -> bool {
        usize::from(self.part_count) <= MAX_PARTS
            && self.index < self.part_count
            && self.bytes.len() <= MAX_PART_LEN
    }
}
