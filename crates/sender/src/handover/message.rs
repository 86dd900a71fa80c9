//! The messages between two processes of one sender. The names in JSON are part of the protocol, so they are kept
//! where a Rust name differs.

use rudderspindle_journal as journal;
use serde::{Deserialize, Serialize};

use crate::event::{ClaimAnswer, ClaimNumber, ContentHash, Endpoint, EndpointList, IdClaim, Input};
use crate::outbound::MAX_BACKOFF_MS;

/// Maximum encoded length of the receivers in one [`HandoverMessage::Endpoints`], in bytes: less than the maximum length of a
/// message.
const MAX_ENDPOINTS_LEN: usize = 1_900;

/// A message from one process of a sender to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// Handshake: the protocol version of the successor.
    Hello(u32),
    /// Outage state of a receiver, or of a whole destination if `receiver` is empty.
    #[serde(rename = "trouble")]
    OutageState {
        /// The destination's number.
        destination: u16,
        /// The receiver's name; empty for the whole destination.
        receiver: String,
        /// The outage state when the message was sent.
        #[serde(rename = "trouble")]
        outage: OutageState,
    },
    /// A Retry-After backoff, which both processes observe.
    #[serde(rename = "wait")]
    RetryAfter {
        /// The destination's number.
        destination: u16,
        /// The receiver's name, if the receivers of the destination are limited separately; `None` for the whole
        /// destination.
        receiver: Option<String>,
        /// Remaining time of the backoff, in milliseconds.
        ms: f64,
    },
    /// Number of calls in flight of the process that sends the message. The two processes share the connection slots of
    /// this sender.
    #[serde(rename = "out")]
    CallsInFlight(usize),
    /// The part of the journal's disk budget that the owner leaves to its successor, in bytes. Sent before the end of
    /// the state transfer if it is less than half, and again whenever it grows.
    #[serde(rename = "disk")]
    DiskSpace(u64),
    /// End of the state transfer. From then on the successor may use its part of the journal's disk budget: half unless
    /// [`HandoverMessage::DiskSpace`] was sent.
    #[serde(rename = "room")]
    FreeSpace,
    /// A part of the owner's endpoint list, of which all parts are sent before the end of the state transfer. Only sent in
    /// protocol version 2, as are the following messages.
    Endpoints {
        /// The revision of the list.
        revision: u64,
        /// The receivers of this part.
        members: Vec<Endpoint>,
    },
    /// The successor accepts messages from now on, so the owner must claim the ids of new messages.
    #[serde(rename = "accepting")]
    AcceptsMessages,
    /// Claims the id of a new message, see [`IdClaim`].
    #[serde(rename = "claim")]
    ClaimId {
        /// Identifies the claim in its answer.
        number: ClaimNumber,
        /// The id of the new message.
        message_id: String,
        /// The content of the new message.
        content: ContentHash,
    },
    /// Answers a claim.
    #[serde(rename = "claimed")]
    AnswerClaim {
        /// The claim.
        number: ClaimNumber,
        /// The answer.
        answer: ClaimAnswer,
    },
}

impl From<IdClaim> for HandoverMessage {
    fn from(claim: IdClaim) -> Self {
        let IdClaim { number, message_id, content } = claim;
        Self::ClaimId { number, message_id: message_id.to_string(), content }
    }
}

impl HandoverMessage {
    /// The messages that transfer an endpoint list; none if an entry is too long for a message.
    pub fn endpoint_list(list: &EndpointList) -> Vec<Self> {
        let revision = list.revision;
        let mut parts = Vec::new();
        let mut members = Vec::new();
        let mut part_len = 0;
        for endpoint in &list.members {
            let endpoint_len = serde_json::to_vec(endpoint).map_or(usize::MAX, |json| json.len());
            if endpoint_len > MAX_ENDPOINTS_LEN {
                return Vec::new();
            }
            if part_len + endpoint_len > MAX_ENDPOINTS_LEN {
                parts.push(Self::Endpoints { revision, members: std::mem::take(&mut members) });
                part_len = 0;
            }
            part_len += endpoint_len + 1;
            members.push(endpoint.clone());
        }
        parts.push(Self::Endpoints { revision, members });
        parts
    }

    /// The engine input for this message; `None` for a message of the handshake or of the state transfer.
    pub fn into_input(self) -> Option<Input> {
        match self {
            Self::RetryAfter { destination, receiver, ms } => {
                Some(Input::PeerProcessBackoff { destination, receiver, wait: ms })
            }
            Self::CallsInFlight(calls) => Some(Input::PeerProcessCallsInFlight(calls)),
            Self::DiskSpace(bytes) => Some(Input::PeerProcessDiskSpace(bytes)),
            Self::AcceptsMessages => Some(Input::SuccessorAcceptsMessages),
            Self::ClaimId { number, message_id, content } => {
                Some(Input::PeerProcessClaim(IdClaim { number, message_id: message_id.into(), content }))
            }
            Self::AnswerClaim { number, answer } => Some(Input::ClaimAnswered { number, answer }),
            Self::Hello(_) | Self::OutageState { .. } | Self::Endpoints { .. } | Self::FreeSpace => None,
        }
    }
}

/// Outage state in a message between two processes, with the same values as [`journal::OutageState`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageState {
    /// The receiver or destination is in an outage.
    Down {
        /// Remaining time of the Retry-After backoff, in milliseconds; 0 without one.
        #[serde(rename = "wait")]
        retry_after_remaining: u64,
    },
    /// The receiver or destination is in slow start after an outage.
    #[serde(rename = "cold")]
    WarmingUp {
        /// Time since the recovery, in milliseconds; negative while a Retry-After backoff has to pass first.
        #[serde(rename = "ago")]
        since_recovery: i64,
        /// This sender's share of the recovery ramp, from 0 to 1.
        #[serde(rename = "part")]
        ramp_share: f64,
    },
}

impl OutageState {
    /// The state with its values limited to their valid ranges, because the other process is not trusted to send valid
    /// ones.
    #[must_use]
    pub fn clamped(self) -> Self {
        match self {
            Self::Down { retry_after_remaining } => {
                Self::Down { retry_after_remaining: retry_after_remaining.min(MAX_BACKOFF_MS as u64) }
            }
            Self::WarmingUp { since_recovery, ramp_share } => Self::WarmingUp {
                since_recovery: since_recovery.max(-(MAX_BACKOFF_MS as i64)),
                ramp_share: ramp_share.clamp(0.0, 1.0),
            },
        }
    }
}

impl From<journal::OutageState> for OutageState {
    fn from(outage: journal::OutageState) -> Self {
        match outage {
            journal::OutageState::Down { retry_after_remaining } => Self::Down { retry_after_remaining },
            journal::OutageState::WarmingUp { since_recovery, ramp_share } => {
                Self::WarmingUp { since_recovery, ramp_share }
            }
        }
    }
}

impl From<OutageState> for journal::OutageState {
    fn from(outage: OutageState) -> Self {
        match outage {
            OutageState::Down { retry_after_remaining } => Self::Down { retry_after_remaining },
            OutageState::WarmingUp { since_recovery, ramp_share } => {
                Self::WarmingUp { since_recovery, ramp_share }
            }
        }
    }
}
