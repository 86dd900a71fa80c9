//! Identifiers of senders and of their processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a sender within the fleet, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SenderId(pub u16);

impl SenderId {
    /// The sender at an index of a list with one entry for each sender, which has at most `MAX_SENDERS` entries.
    pub(crate) fn from_index(index: usize) -> SenderId {
        SenderId(index as u16)
    }

    /// Index of this sender in a list with one entry for each sender.
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for SenderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a process of a sender; each later process of the same sender has a greater incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
