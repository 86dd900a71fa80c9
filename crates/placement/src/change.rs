//! What happened, for the host's log.
use crate::held::Tag;

/// One thing that an operator may want to read of; see `Placement::changes`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A rule set is held from now on; heard from a sender, or of the own file.
    Took {
        /// Which.
        tag: Tag,
        /// By whom it came; none for the own file.
        from: Option<u16>,
    },
    /// Another set of this revision is held already: of each tenant what both allow is open until a higher revision is
    /// in force. Once for each set.
    Conflict {
        /// The one that came second.
        tag: Tag,
    },
    /// At the start the own file was older than what is held; it is not used.
    FileIsOld {
        /// What the file has.
        file: u64,
        /// The highest held.
        held: u64,
    },
    /// More than half of the senders hold it; older sets hold no more.
    InForce {
        /// Which.
        tag: Tag,
    },
    /// A set cannot be taken in as too many are held that are not in force yet.
    NoRoom {
        /// Which.
        tag: Tag,
    },
    /// A set that came whole has another content than it was announced with, or counts in another list of halls.
    Unusable {
        /// Which.
        tag: Tag,
        /// The sender whose part was the last.
        from: u16,
    },
    /// A sender without state has heard enough to count as one that holds.
    Recovered,
    /// There is a lease again, to this time.
    Leased {
        /// Wall time, ms.
        until: u64,
    },
    /// The lease has run out: ruled tenants are closed.
    LeaseRanOut {
        /// Wall time at which it did, ms.
        at: u64,
    },
}
