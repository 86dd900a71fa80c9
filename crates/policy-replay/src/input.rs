//! Inputs that the simulated host passes to a policy.

use crate::attempt::{AttemptOutcome, MessageInput, PriorExecution};
use crate::limit::{Limit, Outage, PermitInput};
use crate::list::{ListEntry, ListUpdate};

/// An input and the number of the policy instance that receives it.
pub type InstanceInput = (u32, Input);

/// An input of a policy instance.
///
/// The simulator's wire protocol has a record for each variant up to [`Input::HealthChecked`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A new instance starts.
    Start {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, as JSON text.
        settings: &'static str,
    },
    /// The instance stops.
    PowerOff,
    /// A datagram arrives from another instance.
    Peer,
    /// The endpoint list changes.
    List {
        /// Whether `entries` replace the list or change it.
        update: ListUpdate,
        /// Empty if `update` is [`ListUpdate::Failed`].
        entries: Vec<ListEntry>,
    },
    /// A message is submitted.
    Message(MessageInput),
    /// The receiver has started to stream a response.
    Started {
        /// Id of the message.
        id: u32,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome {
        /// Id of the message.
        id: u32,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Retry-After of a rejection, in ms; 0 if there is none.
        retry_after: u32,
        /// Whether this outcome completes the message.
        completed: bool,
    },
    /// The client has disconnected.
    Dropped {
        /// Id of the message.
        id: u32,
    },
    /// A wake-up that the policy requested is due.
    Wake {
        /// Token of the request.
        token: u64,
    },
    /// A health check has ended.
    HealthChecked {
        /// The route that was checked.
        route: u64,
        /// Outcome of the health check.
        outcome: AttemptOutcome,
    },
    /// A message that was accepted before a restart and has not been completed.
    Recovered {
        /// The message.
        message: MessageInput,
        /// Number of attempts before the restart.
        attempts: u32,
        /// The first attempt that the receiver may have executed, if there is one.
        execution: Option<PriorExecution>,
    },
    /// An outage state that was stored before a restart.
    Remembered {
        /// The limit whose routes are in the outage.
        limit: Limit,
        /// The stored state.
        outage: Outage,
    },
    /// A Retry-After that another process has received.
    RetryAfter {
        /// The limit that the Retry-After applies to.
        limit: Limit,
        /// Time until the Retry-After ends, in ms.
        remaining: f64,
    },
    /// The capacity of a limit that the fleet leaves to this sender.
    Capacity {
        /// The limit that the capacity belongs to.
        limit: Limit,
        /// Calls per second for each call of the sender's demand; infinite if the limit covers
        /// all demand.
        rate_per_demand: f64,
        /// Demand of all senders, in calls.
        fleet_demand: f64,
        /// Time until this report expires, in ms.
        valid_for: f64,
    },
    /// Permits to start calls under a limit.
    Permits {
        /// The limit that the permits belong to.
        limit: Limit,
        /// Replace the permits reported before; may be empty.
        permits: Vec<PermitInput>,
    },
    /// Other senders have ejected routes as outliers.
    EjectedReceivers {
        /// The ejected routes, which replace those reported before.
        routes: Vec<u64>,
    },
    /// This sender's share of a tenant's quota.
    Quota {
        /// Number of the tenant.
        tenant: usize,
        /// Messages per second; `None` if the usage of other senders is unknown.
        messages_per_s: Option<f64>,
    },
    /// The host is going to send [`Input::Capacity`] reports.
    ExpectCapacityReports,
    /// No call may start without a permit; the host is going to send [`Input::Permits`].
    RequirePermits,
    /// Another process of the same sender uses some of the sender's slots.
    SlotsUsedByPeer {
        /// Number of slots that the other process uses.
        used: usize,
    },
}

impl Input {
    /// Returns the input's name in the counts of a golden file.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "input up",
            Self::PowerOff => "input power-off",
            Self::Peer => "input peer",
            Self::List { update: ListUpdate::Full, .. } => "input list full",
            Self::List { update: ListUpdate::Cached, .. } => "input list cached",
            Self::List { update: ListUpdate::Delta, .. } => "input list delta",
            Self::List { update: ListUpdate::Failed, .. } => "input list failed",
            Self::Message(_) => "input message",
            Self::Started { .. } => "input started",
            Self::Outcome { outcome, retry_after, .. } => outcome.input_name(*retry_after),
            Self::Dropped { .. } => "input dropped",
            Self::Wake { .. } => "input wake",
            Self::HealthChecked { .. } => "input probed",
            Self::Recovered { execution: None, .. } => "input recovered",
            Self::Recovered { execution: Some(_), .. } => "input recovered that may have run",
            Self::Remembered { outage: Outage::Healthy, .. } => "input remembered nothing",
            Self::Remembered { outage: Outage::Down { .. }, .. } => "input remembered down",
            Self::Remembered { outage: Outage::WarmingUp { .. }, .. } => "input remembered cold",
            Self::RetryAfter { .. } => "input waits",
            Self::Capacity { .. } => "input room",
            Self::Permits { .. } => "input turns",
            Self::EjectedReceivers { .. } => "input avoid",
            Self::Quota { .. } => "input quota",
            Self::ExpectCapacityReports => "input hear-notes",
            Self::RequirePermits => "input keep-rights",
            Self::SlotsUsedByPeer { .. } => "input share-slots",
        }
    }
}
