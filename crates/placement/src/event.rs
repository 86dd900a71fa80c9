//! What happened in a placement, for the host's log.
use rudderspindle_clock::UnixMillis;

use crate::rule_set_id::RuleSetId;
use crate::sender_id::SenderId;

/// One event that an operator may want to know of; see [`Placement::take_events`](crate::Placement::take_events).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlacementEvent {
    /// A rule set is held from now on.
    RuleSetAdded {
        /// The rule set.
        id: RuleSetId,
        /// The sender from which its last part came, or `None` if it is of the own file.
        from: Option<SenderId>,
    },
    /// Another rule set of this revision is held already: only zones that both allow are open until a higher revision is
    /// committed. Reported once for each rule set.
    ConflictingRevision {
        /// The rule set that came later.
        id: RuleSetId,
    },
    /// At the start the own file was older than the rule sets held, and is not used.
    FileOutdated {
        /// The revision of the file.
        file_revision: u64,
        /// The highest revision held.
        held_revision: u64,
    },
    /// A majority of the senders acknowledges the rule set; lower revisions no longer apply.
    RuleSetCommitted {
        /// The rule set.
        id: RuleSetId,
    },
    /// A rule set cannot be held as too many are pending.
    TooManyRuleSets {
        /// The rule set.
        id: RuleSetId,
    },
    /// All parts of a rule set came, and have another content than was named or refer to another list of zones.
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
        /// When it did.
        at: UnixMillis,
    },
}
