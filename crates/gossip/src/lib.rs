//! Gossip between the senders of a fleet, by which hundreds of senders share a limit without a leader.
//!
//! Several times a second each sender reports its load at every limit and receives the sums of all recent reports. A limit
//! belongs to a destination or to a single endpoint. From the sums each sender computes the capacity that every limit has
//! for its calls.
//! No sender is a leader: an aggregator only adds up the reports of one round. It is the first sender in an order that all
//! senders compute identically, and any other sender can replace it.
//!
//! - [`DemandExchange`] exchanges loads and computes the capacity of each limit; [`CapacityShare`] applies
//!   the capacity to the calls of one sender's policy.
//! - [`PermitLedger`] enforces a hard bound on the fleet's call rate at a limit, with a lease for each call.
//! - [`FleetView`] exchanges tenant usage and outlier votes; [`DatagramBudget`] limits the rate of its datagrams.
//!
//! This crate does no I/O and reads no clock: callers pass in the time and the received datagrams, and send the
//! datagrams that the functions return.
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]

mod arrival_rate;
mod capacity;
mod datagram_budget;
mod demand_exchange;
mod envelope;
mod fleet_view;
#[cfg(test)]
mod golden;
mod limit_estimate;
mod limit_id;
mod load_totals;
mod membership;
mod message;
mod outgoing_datagram;
mod outlier_detection;
mod peer_selection;
mod permits;
mod tenant_usage;

pub use arrival_rate::ArrivalRate;
pub use capacity::{CapacityShare, CapacityUpdate, PermitLease, ScheduledCall};
pub use datagram_budget::{DatagramBudget, DatagramClass};
pub use demand_exchange::{DemandExchange, LimitCapacity, LocalDemand, ROUND};
pub use envelope::{Envelope, EnvelopeError, Kind, MAX_BODY_LEN, open, read, seal};
pub use fleet_view::{FleetView, FleetViewError, MAX_SENDERS, USAGE_TIMEOUT};
pub use limit_estimate::RecoveryRamp;
pub use limit_id::LimitId;
pub use membership::{
    Incarnation, IncarnationOrder, IncarnationTooFarAhead, MemberEvent, MembershipList, NewestIncarnation,
};
pub use message::{GossipError, MAX_MESSAGE_LEN};
pub use outgoing_datagram::OutgoingDatagram;
pub use outlier_detection::{CallResult, ObserverVote, OutlierDetector, OwnVote, ReceiverId, Vote};
pub use permits::{Permit, PermitError, PermitLedger};
pub use tenant_usage::{
    EPOCH_LENGTH, LocalSender, MAX_TOTAL_SHARE, QuotaBucket, READ_LAG, Register, RegisterKey, TenantTotal,
    TenantUsage, UsageInterval, WindowSlice, quota_share, read_epochs,
};
