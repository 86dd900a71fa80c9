//! Gossip between the senders of a fleet, by which hundreds of them share one limit without a leader.
//!
//! One sender sees too little of a destination to know what the others do to it. So each reports its load at every limit
//! (a destination's, or that of a single endpoint) a few times a second, and receives the sums over all that reported
//! lately. From the sums each sender computes by itself how much of the limit there is for each of its calls. No sender
//! decides for another: the one that aggregates a round is the first of an order that all compute alike, and any other
//! can take its place.
//!
//! - [`DemandExchange`] exchanges loads and computes the capacity of each limit; [`CapacityShare`] is the policy's view
//!   of it.
//! - [`PermitLedger`] enforces a hard bound on the fleet's rate at a limit by leases for single calls.
//! - [`FleetView`] exchanges tenant usage and outlier votes; [`DatagramBudget`] bounds the datagrams for it.
//!
//! This crate does no I/O and reads no clock: it is given the time and the datagrams that arrive, and returns those to be
//! sent.
#![forbid(unsafe_code)]

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
pub use envelope::{EnvelopeError, Kind, MAX_BODY_LEN, open, read, seal};
pub use fleet_view::{FleetView, FleetViewError, MAX_SENDERS, USAGE_TIMEOUT};
pub use limit_estimate::RecoveryRamp;
pub use limit_id::LimitId;
pub use membership::{
    Incarnation, IncarnationOrder, IncarnationTooFarAhead, MemberEvent, MembershipList, NewestIncarnation,
};
pub use message::{GossipError, MAX_MESSAGE_LEN};
pub use outgoing_datagram::OutgoingDatagram;
pub use outlier_detection::{CallResult, ObserverVote, OutlierDetector, Receiver, ReceiverVote, Vote};
pub use permits::{Permit, PermitError, PermitLedger};
pub use tenant_usage::{
    EPOCH, LAG, LocalSender, MAX_TOTAL_SHARE, QuotaBucket, Register, RegisterKey, TenantTotal, TenantUsage,
    UsageInterval, WindowSlice, quota_share, read_epochs,
};
