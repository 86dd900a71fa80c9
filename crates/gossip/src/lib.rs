//! One partner's limit, shared by many senders without a leader.
//!
//! Each sender of hundreds sees too little of a partner to know what the others do to it. So each tells, a few times a
//! second, what it wants of every gate (a partner's limit, or that of a route apart), what it called, what was
//! refused and what failed; whoever is told answers with the sums over all that told it lately. From the sums each sender works out by
//! itself how much of the limit there is for a call that it wants. Nobody decides for another: who sums is
//! the first of an order that all draw alike and that answers, and any other does as well.
//!
//! No I/O and no clock: [`DemandExchange`] is given the time and the datagrams, and says which to send.
#![forbid(unsafe_code)]

mod arrival_rate;
mod capacity;
mod datagram_budget;
mod demand_exchange;
mod envelope;
mod fleet_view;
#[cfg(test)]
mod golden;
mod limit_id;
mod membership;
mod message;
mod outgoing_datagram;
mod outlier_detection;
mod peer_selection;
mod permits;
mod sums;
mod tenant_usage;

pub use arrival_rate::ArrivalRate;
pub use capacity::{CapacityShare, CapacityUpdate, PermitLease, ScheduledCall};
pub use datagram_budget::{Class, DatagramBudget};
pub use demand_exchange::{DemandExchange, LocalDemand, ROUND};
pub use envelope::{EnvelopeError, Kind, MAX_BODY_LEN, open, read, seal};
pub use fleet_view::{FleetView, FleetViewError, MAX_SENDERS, USAGE_TIMEOUT};
pub use limit_id::LimitId;
pub use membership::{
    Incarnation, IncarnationOrder, IncarnationTooFarAhead, MemberEvent, MembershipList, NewestIncarnation,
};
pub use message::{GossipError, MAX_MESSAGE_LEN};
pub use outgoing_datagram::OutgoingDatagram;
pub use outlier_detection::{CallResult, ObserverVote, OutlierDetector, Receiver, ReceiverVote, Vote};
pub use permits::{Permit, PermitError, PermitLedger};
pub use sums::{Ramp, Sum};
pub use tenant_usage::{
    EPOCH, LAG, LocalSender, MAX_TOTAL_SHARE, QuotaBucket, Register, RegisterKey, TenantTotal, TenantUsage,
    UsageInterval, WindowSlice, quota_share, read_epochs,
};
