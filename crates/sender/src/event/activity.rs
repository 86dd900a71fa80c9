//! The activity that the engine reports to the gossip task.

use rudderspindle_gossip::{CallResult, LimitId, ReceiverId};
use rudderspindle_policy::interface::{Demand, DestinationId, RouteId};

/// Maximum number of attempt results in an [`ActivityReport`]; the oldest are dropped first.
pub(crate) const MAX_CALL_RESULTS: usize = 4_096;

/// The demand and the recent activity of this sender, for the gossip with other senders.
#[derive(Debug, Default)]
pub struct ActivityReport {
    /// Current demand.
    pub demands: Vec<LimitDemand>,
    /// Attempt results since the last report, oldest first; at most [`MAX_CALL_RESULTS`].
    pub results: Vec<ReceiverResult>,
    /// Messages accepted since the last report, ordered by tenant.
    pub accepted: Vec<AcceptedMessages>,
    /// The receivers in the endpoint list, ordered by destination and route.
    pub listed: Vec<ListedReceiver>,
}

/// Demand for a limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitDemand {
    /// The limit's name in datagrams.
    pub limit: LimitId,
    /// This sender's demand for it.
    pub demand: Demand,
}

/// The result of an attempt, as evidence of the receiver's health.
#[derive(Clone, Copy, Debug)]
pub struct ReceiverResult {
    /// The receiver.
    pub receiver: ReceiverId,
    /// Whether it responded.
    pub result: CallResult,
}

/// Number of messages accepted from a tenant.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedMessages {
    /// Index of the tenant in the settings; `u16::MAX` for all beyond that.
    pub tenant: u16,
    /// Number of messages.
    pub messages: u32,
}

/// A receiver in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedReceiver {
    /// Its destination.
    pub destination: DestinationId,
    /// Its id in the policy.
    pub route: RouteId,
    /// Its name in datagrams.
    pub receiver: ReceiverId,
}
