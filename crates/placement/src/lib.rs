//! Data residency: in which zones a tenant's messages may be accepted, stored and sent to.
//!
//! Invariant: no sender accepts or sends for a ruled tenant outside the zones of a revision that has been committed for
//! longer than its lease, twice the clocks' error and one call.
//!
//! An operator's file gives each ruled tenant its zones ([`RuleSet`]). Senders report by gossip which rule sets they have,
//! and hand them on. A revision is committed once a majority of the senders acknowledges it. A sender acts for ruled tenants
//! only under a lease that a summary of a majority's heartbeats renews; so whoever renews has received every committed
//! revision, and whoever receives nothing stops. `docs/design/placement.md` has the argument and its cost.
//!
//! No I/O and no clock: [`Placement`] is passed the time and the bodies of datagrams, and returns those to be sent. Nothing
//! here knows of messages, receivers or the journal.
//!
//! Where to begin reading: `placement` (the state), `outgoing` and `incoming` (datagrams), `quorum` (what a round
//! changes), `access` and `body_disposal` (the answers).
#![forbid(unsafe_code)]

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

pub use access::{AdmissionRefused, ClosedReason, ZoneAccess};
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
