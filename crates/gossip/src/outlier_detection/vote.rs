//! Identifiers of receivers, and the votes of observers on them.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// How long a vote is valid after the observation that it reports, in milliseconds, however often it is repeated.
pub const OBSERVATION_TTL: u64 = 5_000;

/// Identifier of a receiver in datagrams, the same at every sender: the CRC-32 of its destination and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Receiver(u32);

impl Receiver {
    /// The identifier of a destination's receiver.
    ///
    /// Two receivers of a thousand have the same one by chance in one of 8,000 fleets; votes on one then count for both.
    pub fn of(destination: u16, receiver: &str) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.as_bytes());
        Self(hash.finalize())
    }
}

/// The result of a call to a receiver, for outlier detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// There was no response, or one that reports a failure.
    Failed,
    /// The receiver responded without reporting a failure; a rejection by its rate limit counts, too.
    Answered,
}

/// An observer's vote on a receiver; the greater of two is the newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// When the observer last saw the receiver in this state.
    pub last: UnixMillis,
    /// When the failures began; for a receiver that recovered, when it answered.
    pub first: UnixMillis,
    /// Whether the receiver recovered; it is down otherwise.
    pub recovered: bool,
}

impl Vote {
    /// Whether its observation is within [`OBSERVATION_TTL`].
    pub(super) fn is_fresh(&self, now: UnixMillis) -> bool {
        self.last.saturating_add(OBSERVATION_TTL) > now
    }
}

/// A sender's own vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverVote {
    /// The receiver.
    pub receiver: Receiver,
    /// The vote.
    pub vote: Vote,
}

/// A vote on a receiver with its observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObserverVote {
    /// The receiver.
    pub receiver: Receiver,
    /// Number of the sender that observed the receiver.
    pub observer: usize,
    /// The vote.
    pub vote: Vote,
}
