//! The identity of a sender, and of the process that acts for it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a sender within the fleet, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SenderId(pub u16);

impl SenderId {
    /// The sender at an index of a list over the fleet, which has at most `MAX_SENDERS` entries.
    pub(crate) fn from_index(index: usize) -> SenderId {
        SenderId(index as u16)
    }

    /// Index of this sender in a list over the fleet.
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for SenderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a process of a sender; each later process of the same sender has a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
