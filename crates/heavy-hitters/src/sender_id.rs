//! Identifiers of senders and of their processes.

use serde::{Deserialize, Serialize};

/// The index of a sender within the fleet, from 0 to 65,534 at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub usize);

/// Identifies a process of a sender; each later process of the same sender has a greater incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
