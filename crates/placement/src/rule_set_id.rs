//! Identifiers of rule sets in heartbeats, summaries and records.

use serde::{Deserialize, Serialize};

/// Maximum number of rule sets that a sender holds: one committed one, and three that are pending or conflicting.
pub const MAX_RULE_SETS: usize = 4;

/// Keyed hash of a rule set's content, including the hash of its zone list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub(crate) u64);

/// Identifies a rule set by its revision and content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RuleSetId {
    /// The operator's revision, from 1; 0 stands for no rule set.
    pub revision: u64,
    /// Hash that distinguishes rule sets of the same revision.
    pub content_hash: ContentHash,
}

impl RuleSetId {
    /// Whether this identifies a rule set; false for the default value, which stands in unused slots.
    pub(crate) fn is_some(self) -> bool {
        self.revision > 0
    }
}
