//! The identity of a sender, and of the process that acts for it.

use serde::{Deserialize, Serialize};

/// The number of a sender within the fleet, from 0 to at most 65,534.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub usize);

/// Identifies a process of a sender; each later process of the same sender has a greater one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);
