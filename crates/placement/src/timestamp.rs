//! Points in time on the wall clock that all senders share.
use serde::{Deserialize, Serialize};

/// A point in time on the shared wall clock, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The Unix epoch; stands for "never" where a time has not been set yet.
    pub const EPOCH: Timestamp = Timestamp(0);

    /// The time so many milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time so many milliseconds later, at most the largest that can be represented.
    pub(crate) const fn plus_millis(self, millis: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(millis))
    }
}
