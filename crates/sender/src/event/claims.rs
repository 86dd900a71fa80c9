//! Claims of message ids. While two processes of a sender accept messages, each claims the id of a new message from the other
//! one before it accepts the message, because an id must not be in work at both.

use rudderspindle_journal::MessageId;
use serde::{Deserialize, Serialize};

/// The number of a claim, unique among the claims of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimNumber(pub u64);

/// A hash of a message's content: everything but its id and its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentHash {
    /// The upper half of the hash.
    pub high: u64,
    /// The lower half of the hash.
    pub low: u64,
}

/// A process's claim of the id of a new message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdClaim {
    /// Identifies the claim in its answer.
    pub number: ClaimNumber,
    /// The id of the new message.
    pub message_id: MessageId,
    /// The content of the new message.
    pub content: ContentHash,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The other process does not know the id: the message may be accepted.
    Granted,
    /// The other process has a message with this id in work, or completed a different message with this id.
    Refused,
    /// The other process has delivered the message.
    Delivered,
    /// The message has ended at the other process, and a receiver may have executed it.
    PossiblyExecuted,
}
