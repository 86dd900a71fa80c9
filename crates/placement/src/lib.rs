//! Data residency: the zones in which a tenant's messages may be accepted and stored, and to which they may be sent.
//!
//! Invariant: once a revision has been committed for longer than the sum of the lease, twice the clock error and the maximum
//! duration of a call, no sender accepts or sends messages of a ruled tenant outside the zones of that revision.
//!
//! An operator's file assigns zones to tenants ([`RuleSet`]); a tenant with such a rule is a ruled tenant. Senders report the
//! rule sets that they hold by gossip, and transfer them to each other. A revision is committed once a majority of the senders
//! acknowledges it. A sender acts for ruled tenants only under a lease, which is renewed by a summary of the heartbeats of a
//! majority. A sender that renews its lease has received every committed revision; a sender that receives no summaries stops
//! acting for ruled tenants when its lease expires. `docs/design/placement.md` has the proof and the cost.
//!
//! The crate does no I/O and reads no clock: the caller passes the time and the received datagrams to [`Placement`], which
//! returns the datagrams to send. The crate does not depend on messages, receivers or the journal.
//!
//! Entry points for a reader: `placement` (the state), `outgoing` and `incoming` (datagrams), `quorum` (the effects of a
//! round), `access` and `body_disposal` (the decisions).
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]

mod access;
mod body_disposal;
mod datagram;
mod event;
mod fleet_key;
mod gossip_message;
mod heartbeat_collector;
mod held_rule_sets;
mod incoming;
mod lease;
mod outgoing;
mod placement;
mod quorum;
mod round;
mod round_summary;
mod rule_set;
mod rule_set_downloads;
mod rule_set_id;
mod rule_set_uploads;
mod sender_id;
mod settings;
mod startup;
mod state_record;
mod summary_codec;
mod zones;

#[cfg(test)]
mod tests;

pub use access::{AdmissionRejected, ClosedReason, ZoneAccess};
pub use body_disposal::{BodyDisposal, ExecutionState};
pub use datagram::OutgoingDatagram;
pub use event::PlacementEvent;
pub use fleet_key::{FleetKey, TenantId};
pub use gossip_message::{GossipError, MAX_BODY_LEN};
pub use placement::{Placement, Snapshot};
pub use round::{ROUND_MS, Round};
pub use rule_set::{MAX_TENANTS, RuleSet, RuleSetError, TenantRule};
pub use rule_set_id::{ContentHash, MAX_RULE_SETS, RuleSetId};
pub use sender_id::{Incarnation, SenderId};
pub use settings::{MAX_SENDERS, Settings, SettingsError};
pub use startup::{ReloadError, StartError};
pub use state_record::{RecordError, StateRecord};
pub use zones::{MAX_ZONES, ZoneList, ZoneListError, ZoneSet};
