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
        /// The sender of the rule set's last part, or `None` if it was read from this sender's file.
        from: Option<SenderId>,
    },
    /// Another rule set of the same revision is held: only zones that both rule sets allow are used until a higher revision
    /// is committed. Reported once for each rule set.
    ConflictingRevision {
        /// The rule set that was received later.
        id: RuleSetId,
    },
    /// The file of this sender is not used, because its revision at the start was lower than a held one.
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
    /// A received rule set was not added, because [`MAX_RULE_SETS`](crate::MAX_RULE_SETS) are held.
    TooManyRuleSets {
        /// The rule set.
        id: RuleSetId,
    },
    /// All parts of a rule set were received, but their content does not match the id or refers to another zone list.
    InvalidRuleSet {
        /// The rule set.
        id: RuleSetId,
        /// The sender of the last part.
        from: SenderId,
    },
    /// This sender, which was started without a record, has recovered and votes again.
    Recovered,
    /// The lease is valid for the first time since the start or since it expired.
    LeaseAcquired {
        /// When the lease expires unless it is renewed.
        expires_at: UnixMillis,
    },
    /// The lease has expired, so that this sender no longer acts for ruled tenants.
    LeaseExpired {
        /// When the lease expired.
        at: UnixMillis,
    },
}
