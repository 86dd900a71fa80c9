//! Receivers as the fleet names them, and the votes of observers on them.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// A vote counts for this long after its observer last saw what it says, ms, however often it is repeated.
pub const OBSERVATION_TTL: u64 = 5_000;

/// The name of a receiver in datagrams, the same at every sender: the CRC-32 of its destination and its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Receiver(u32);

impl Receiver {
    /// The name of a destination's receiver.
    ///
    /// Two receivers of a thousand share a name by chance in one of 8,000 fleets; votes on one count for both then.
    pub fn of(destination: u16, receiver: &str) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.as_bytes());
        Self(hash.finalize())
    }
}

/// The result of a call to a receiver, as far as outlier detection is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// There was no response, or one that reports a failure.
    Failed,
    /// The receiver responded well; a rejection for rate counts as this.
    Answered,
}

/// An observer's vote on a receiver. A greater one is the newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// When the observer last saw the receiver so.
    pub last: UnixMillis,
    /// When the run of failures began; of a receiver that recovered, when it answered.
    pub first: UnixMillis,
    /// Whether the receiver recovered; it is down otherwise.
    pub recovered: bool,
}

impl Vote {
    /// Whether it is within [`OBSERVATION_TTL`].
    pub(super) fn is_fresh(&self, now: UnixMillis) -> bool {
        self.last.saturating_add(OBSERVATION_TTL) > now
    }
}

/// A sender's own vote on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverVote {
    /// The receiver that the vote is on.
    pub receiver: Receiver,
    /// The vote.
    pub vote: Vote,
}

/// A vote with the sender whose vote it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObserverVote {
    /// The receiver that the vote is on.
    pub receiver: Receiver,
    /// Number of the sender that votes.
    pub observer: usize,
    /// The vote.
    pub vote: Vote,
}
