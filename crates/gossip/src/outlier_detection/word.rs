//! Receivers by name, what was seen of one, and a judge's word.

use serde::{Deserialize, Serialize};

/// A receiver's name, the same at every sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Receiver(u32);

impl Receiver {
    /// Of a destination's receiver. Two of a thousand share a name by chance once in 8,000 fleets; a judgement on one is
    /// one on both then.
    pub fn of(destination: u16, receiver: &str) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.as_bytes());
        Self(hash.finalize())
    }
}

/// What came of an own call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Not answered, or not well.
    Failed,
    /// Answered well; refused for its rate counts as this.
    Answered,
}

/// A judge's word on a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Word {
    /// When the judge last saw it so, ms since 1970.
    pub last: u64,
    /// When the run of failures began; of one that came back, when it answered.
    pub first: u64,
    /// Whether it came back.
    pub back: bool,
}
