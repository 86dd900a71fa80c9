//! Identifiers of receivers, and the votes of observers on them.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Time after which a vote expires, from the observer's last observation, in milliseconds. Receiving the vote again does
/// not extend it.
pub const VOTE_TTL_AFTER_OBSERVATION: u64 = 5_000;

/// Identifier of a receiver in datagrams: the CRC-32 of its destination's number and its id. All senders compute the same
/// identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReceiverId(u32);

impl ReceiverId {
    /// The identifier of a destination's receiver, from the destination's number and the receiver's id.
    ///
    /// In a fleet with a thousand receivers, the probability that any two share an identifier is about 1 in 8,000. A vote
    /// on one of the two then counts for both.
    pub fn of(destination: u16, receiver: &str) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.as_bytes());
        Self(hash.finalize())
    }
}

/// The result of a call to a receiver, as used by outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// No response was received, or the response reports a failure.
    Failed,
    /// The receiver responded without reporting a failure. A rejection by the receiver's rate limit is such a response.
    Answered,
}

/// An observer's vote on a receiver. The greater of two votes is the newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// When the observer's last call on which the vote is based ended: the last failure of a receiver that is down, or the
    /// last answer of one that recovered.
    pub last_observed_at: UnixMillis,
    /// When the first of the consecutive failures was recorded; equal to `last_observed_at` if the receiver recovered.
    pub first_observed_at: UnixMillis,
    /// Whether the receiver answers calls again after it had been down; otherwise it is down.
    pub recovered: bool,
}

impl Vote {
    /// Whether the last observation is within [`VOTE_TTL_AFTER_OBSERVATION`] before `now`.
    pub(super) fn is_fresh(&self, now: UnixMillis) -> bool {
        self.last_observed_at.saturating_add(VOTE_TTL_AFTER_OBSERVATION) > now
    }
}

/// A sender's own vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnVote {
    /// The receiver that the vote is about.
    pub receiver: ReceiverId,
    /// The vote of the sender itself.
    pub vote: Vote,
}

/// An observer's vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObserverVote {
    /// The receiver that the vote is about.
    pub receiver: ReceiverId,
    /// Number of the sender that observed the receiver.
    pub observer: usize,
    /// The observer's vote.
    pub vote: Vote,
}
