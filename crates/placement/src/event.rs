//! Events of a placement for the operator's log.

use rudderspindle_clock::UnixMillis;

use crate::rule_set_id::RuleSetId;
use crate::sender_id::SenderId;

/// An event for the operator's log; see [`Placement::take_events`](crate::Placement::take_events).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlacementEvent {
    /// A rule set was added to the held ones.
    RuleSetAdded {
        /// The rule set.
        id: RuleSetId,
        /// The sender of its last part, or `None` if it is from the own file.
        from: Option<SenderId>,
    },
    /// Another rule set of the same revision is held: only zones that both allow are open until a higher revision is
    /// committed. Reported once for each rule set.
    ConflictingRevision {
        /// The rule set that was received later.
        id: RuleSetId,
    },
    /// The own file was older at the start than the held rule sets, and is not used.
    FileOutdated {
        /// The revision of the file.
        file_revision: u64,
        /// The highest revision held.
        held_revision: u64,
    },
    /// A majority of the senders acknowledged the rule set; lower revisions no longer apply.
    RuleSetCommitted {
        /// The rule set.
        id: RuleSetId,
    },
    /// A rule set was dropped as too many are pending.
    TooManyRuleSets {
        /// The rule set.
        id: RuleSetId,
    },
    /// All parts of a rule set were received, but their content does not match its id, or they refer to another zone list.
    InvalidRuleSet {
        /// The rule set.
        id: RuleSetId,
        /// The sender of the last part.
        from: SenderId,
    },
    /// A sender that started without state votes again.
    Recovered,
    /// The lease is valid again.
    LeaseAcquired {
        /// When it expires unless it is renewed.
        expires_at: UnixMillis,
    },
    /// The lease has expired, and ruled tenants are closed.
    LeaseExpired {
        /// When it expired.
        at: UnixMillis,
    },
}
