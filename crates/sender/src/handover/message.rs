//! The messages between two processes of one sender. Their names in JSON are part of the protocol.

use rudderspindle_journal as journal;
use serde::{Deserialize, Serialize};

use crate::event::Input;
use crate::outbound::MAX_BACKOFF_MS;

/// A message from one process of a sender to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// Handshake of a successor: its protocol version.
    Hello(u32),
    /// Outage state of a receiver, or of a whole destination where `receiver` is empty.
    #[serde(rename = "trouble")]
    OutageState {
        /// The destination's number.
        destination: u16,
        /// The receiver's name.
        receiver: String,
        /// What is known of the outage.
        #[serde(rename = "trouble")]
        outage: OutageState,
    },
    /// A Retry-After backoff that applies to both processes.
    #[serde(rename = "wait")]
    RetryAfter {
        /// The destination's number.
        destination: u16,
        /// The receiver, where receivers of the destination are limited separately; else the whole destination.
        receiver: Option<String>,
        /// The rest of the backoff, in milliseconds.
        ms: f64,
    },
    /// Calls in flight from the process that sends this: connection slots belong to the sender, not to each process.
    #[serde(rename = "out")]
    CallsInFlight(usize),
    /// End of the state transfer: the successor may use half of the disk space.
    #[serde(rename = "room")]
    FreeSpace,
}

impl HandoverMessage {
    /// The engine input for this message; `None` for the messages of the handshake and the state transfer.
    pub fn into_input(self) -> Option<Input> {
        match self {
            Self::RetryAfter { destination, receiver, ms } => {
                Some(Input::RetryAfter { destination, receiver, wait: ms })
            }
            Self::CallsInFlight(calls) => Some(Input::PeerCallsInFlight(calls)),
            Self::Hello(_) | Self::OutageState { .. } | Self::FreeSpace => None,
        }
    }
}

/// Outage state as the two processes exchange it; the same values as the journal's [`journal::OutageState`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageState {
    /// In an outage.
    Down {
        /// Remaining time of the Retry-After, in milliseconds; 0 for none.
        #[serde(rename = "wait")]
        retry_after_remaining: u64,
    },
    /// In slow start after an outage.
    #[serde(rename = "cold")]
    WarmingUp {
        /// Milliseconds since the recovery; negative while a Retry-After has to pass first.
        #[serde(rename = "ago")]
        since_recovery: i64,
        /// This sender's share of the recovery ramp, from 0 to 1.
        #[serde(rename = "part")]
        ramp_share: f64,
    },
}

impl OutageState {
    /// The nearest state with plausible values: what the other process sends is not trusted.
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
