//! Messages between senders and their encoding.
//!
//! Invariant: decoding any bytes returns a message within its bounds or an error, and allocates no memory for encoded lengths
//! that exceed the received bytes, because lists are arrays of fixed length or slices of the received bytes.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::round::Round;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::sender_id::{Incarnation, SenderId};

/// Maximum length of an encoded message, in bytes: a datagram has 256, of which 8 are reserved for envelopes and 8 for later
/// use.
pub const MAX_BODY_LEN: usize = 240;

/// Maximum length of a part of a rule set, in bytes: [`MAX_BODY_LEN`] less kind (1), id (20), position (2) and length (2),
/// rounded down.
pub(crate) const MAX_PART_LEN: usize = 200;

/// Maximum number of parts of a rule set: the largest has 3,865 bytes, 256 tenants of 15 bytes each and 25 other bytes.
pub(crate) const MAX_PARTS: usize = 20;

/// Maximum number of different slot masks in a summary: the 3 bits of each sender's report encode one of 8 values, and two of
/// them are for senders without a mask.
pub(crate) const MAX_SLOT_MASKS: usize = 6;

/// Why a received message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GossipError {
    /// The bytes are longer than [`MAX_BODY_LEN`].
    #[error("message of {0} bytes: must have at most {MAX_BODY_LEN}")]
    TooLong(usize),
    /// The bytes are not exactly one message.
    #[error("the bytes are not exactly one encoded message")]
    Malformed,
    /// A request names no rule set or no part.
    #[error("request for parts: must name a rule set and at least one part")]
    InvalidPartRequest,
    /// A part's index is not below the number of parts, or the part is too long, or there are too many parts.
    #[error(
        "part of a rule set: must have at most {MAX_PART_LEN} bytes and an index below at most {MAX_PARTS} parts"
    )]
    InvalidPart,
    /// The number of senders in the message differs from the settings.
    #[error("number of senders in the message differs from sender_count in the settings")]
    SenderCountMismatch,
    /// A summary reports a stored rule set that it does not contain, or an acknowledged one that is not stored.
    #[error(
        "summary contradicts itself: each rule set in a report must be named and, if acknowledged, stored"
    )]
    InvalidSummary,
    /// The named sender is not another sender of this fleet, or it is not an aggregator of the message's round: the sender of a
    /// summary and the recipient of a heartbeat must be one.
    #[error("sender {0} is not in this fleet, or not an aggregator of the message's round")]
    UnexpectedSender(SenderId),
    /// The round is over or has not begun.
    #[error("round {} of the message is over or has not begun", .0.number())]
    RoundNotCurrent(Round),
}

/// One sender's report to the aggregators of a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub round: Round,
    /// When the heartbeat was created, by the sender's clock.
    pub sent_at: UnixMillis,
    pub incarnation: Incarnation,
    /// Number of senders in the sender's settings.
    pub sender_count: u16,
    /// Whether the sender's acknowledgements count; false from a start without a record until the recovery.
    pub voting: bool,
    /// The rule sets in the sender's state folder; unused slots have the default value.
    pub rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// Bit `i` is set if `rule_sets[i]` is acknowledged; the other rule sets are only announced.
    pub acknowledged: u8,
}

/// The encoded form of a `RoundSummary`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedSummary<'a> {
    pub round: Round,
    pub sender_count: u16,
    pub rule_sets: [RuleSetId; MAX_RULE_SETS],
    /// The different masks of senders: which `rule_sets` are stored (bits 0 to 3) and acknowledged (bits 4 to 7).
    pub slot_masks: [u8; MAX_SLOT_MASKS],
    /// A code of 3 bits for each sender: 0 if missing, 1 if not voting, else 2 plus an index into `slot_masks`.
    #[serde(borrow)]
    pub report_codes: &'a [u8],
}

/// A request for parts of a rule set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PartRequest {
    pub rule_set: RuleSetId,
    /// Bit `i` is set if part `i` is requested.
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

/// A message between senders; the first encoded byte is the index of the variant.
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
    /// Encodes the message. The result is empty if it would be too long, which the bounds of all fields prevent.
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
