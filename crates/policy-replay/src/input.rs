//! What the simulated host reports to a policy.

use crate::attempt::{AttemptOutcome, MessageInput, PriorExecution};
use crate::limit::{Limit, Outage, PermitInput};
use crate::list::{ListEntry, ListUpdate};

/// An input, with the number of the instance that it is for.
pub type InstanceInput = (u32, Input);

/// What is reported to an instance of the policy.
///
/// The simulator's wire has a record for each variant up to [`Input::HealthChecked`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A new instance starts.
    Start {
        /// Seed of its draws.
        seed: u64,
        /// Its settings, as JSON text.
        settings: &'static str,
    },
    /// The instance stops.
    PowerOff,
    /// A datagram of another instance.
    Peer,
    /// The endpoint list changes.
    List {
        /// How.
        update: ListUpdate,
        /// The entries.
        entries: Vec<ListEntry>,
    },
    /// A message is submitted.
    Message(MessageInput),
    /// A response starts to stream.
    Started {
        /// The message.
        id: u32,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ends.
    Outcome {
        /// The message.
        id: u32,
        /// Number of the attempt.
        attempt: u32,
        /// How it ends.
        outcome: AttemptOutcome,
        /// The Retry-After of a rejection, in ms; 0 for none.
        retry_after: u32,
        /// Whether the message is completed.
        completed: bool,
    },
    /// The client is gone.
    Dropped {
        /// The message.
        id: u32,
    },
    /// A requested wake-up.
    Wake {
        /// Its token.
        token: u64,
    },
    /// The result of a health check.
    HealthChecked {
        /// The route.
        route: u64,
        /// Its outcome.
        outcome: AttemptOutcome,
    },
    /// A message of before a restart.
    Recovered {
        /// The message.
        message: MessageInput,
        /// Number of attempts.
        attempts: u32,
        /// The first attempt that may have taken effect.
        execution: Option<PriorExecution>,
    },
    /// A remembered outage.
    Remembered {
        /// Its scope.
        limit: Limit,
        /// The outage.
        outage: Outage,
    },
    /// A Retry-After that another process has received.
    RetryAfter {
        /// Its scope.
        limit: Limit,
        /// What is left of it, in ms.
        remaining: f64,
    },
    /// What the fleet leaves of a limit.
    Capacity {
        /// The limit.
        limit: Limit,
        /// Calls per second for each call of the sender's demand.
        calls_per_demand: f64,
        /// Demand of all senders, in calls.
        total_demand: f64,
        /// How long this is valid, in ms.
        valid_for: f64,
    },
    /// The permits of a limit.
    Permits {
        /// The limit.
        limit: Limit,
        /// The permits.
        permits: Vec<PermitInput>,
    },
    /// The routes that other senders have ejected.
    EjectedReceivers {
        /// The routes.
        routes: Vec<u64>,
    },
    /// This sender's share of a tenant's quota.
    Quota {
        /// The tenant.
        tenant: usize,
        /// Messages per second.
        per_s: Option<f64>,
    },
    /// The host will report the demand of other senders.
    ExpectCapacityReports,
    /// The host will report permits.
    RequirePermits,
    /// Another process of the sender uses slots.
    SlotsUsedByPeer {
        /// How many.
        used: usize,
    },
}

impl Input {
    /// Its name in the counts of a golden file.
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
