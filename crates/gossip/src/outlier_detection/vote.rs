//! Identifiers of receivers, and the votes of observers on them.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Time for which a vote is valid after its last observation, in milliseconds, however often the vote is received.
pub const OBSERVATION_TTL: u64 = 5_000;

/// Identifier of a receiver in datagrams, the same at every sender: the CRC-32 of the receiver's destination and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReceiverId(u32);

impl ReceiverId {
    /// The identifier of a destination's receiver, from the destination's number and the receiver's id.
    ///
    /// In one of 8,000 fleets with a thousand receivers, two of them have the same identifier by chance. A vote on one of
    /// them then counts for both.
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
    /// When the observer last observed the receiver in this state.
    pub observed_at: UnixMillis,
    /// When the failures began; if the receiver recovered, when it last answered.
    pub began_at: UnixMillis,
    /// Whether the receiver recovered; otherwise it is down.
    pub recovered: bool,
}

impl Vote {
    /// Whether the last observation is within [`OBSERVATION_TTL`] before `now`.
    pub(super) fn is_fresh(&self, now: UnixMillis) -> bool {
        self.observed_at.saturating_add(OBSERVATION_TTL) > now
    }
}

/// A sender's own vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverVote {
    /// The receiver that the vote is about.
    pub receiver: ReceiverId,
    /// This sender's vote.
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
