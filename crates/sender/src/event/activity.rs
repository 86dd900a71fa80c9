//! The activity that the engine reports to the gossip task.

use rudderspindle_gossip::{CallResult, LimitId, ReceiverId};
use rudderspindle_policy::interface::{Demand, DestinationId, RouteId};

/// Maximum number of call results in an [`ActivityReport`]; the oldest are dropped first.
pub(crate) const MAX_CALL_RESULTS: usize = 4_096;

/// The demand and the recent activity of this sender, as reported to the gossip task.
#[derive(Debug, Default)]
pub struct ActivityReport {
    /// Current demand for each limit.
    pub demands: Vec<LimitDemand>,
    /// Results of the calls that ended since the last report, oldest first; at most [`MAX_CALL_RESULTS`].
    pub call_results: Vec<ReceiverResult>,
    /// Numbers of messages accepted since the last report, ordered by tenant.
    pub accepted_messages: Vec<AcceptedMessages>,
    /// The receivers in the endpoint list, ordered by destination and route.
    pub listed_receivers: Vec<ListedReceiver>,
}

/// This sender's demand for calls that one limit covers: the limit of a destination, or of a receiver that has its own.
#[derive(Clone, Copy, Debug)]
pub struct LimitDemand {
    /// The limit's identifier in gossip datagrams.
    pub limit: LimitId,
    /// The demand, as computed by the policy.
    pub demand: Demand,
}

/// The result of one call to a receiver. The senders use these results to detect unhealthy receivers.
#[derive(Clone, Copy, Debug)]
pub struct ReceiverResult {
    /// The receiver that was called.
    pub receiver: ReceiverId,
    /// Whether the receiver answered the call or the call failed.
    pub result: CallResult,
}

/// Number of messages accepted from a tenant.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedMessages {
    /// Index of the tenant in the settings; `u16::MAX` also stands for all larger indices.
    pub tenant: u16,
    /// Number of messages accepted since the last report.
    pub messages: u32,
}

/// A receiver in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedReceiver {
    /// The receiver's destination.
    pub destination: DestinationId,
    /// The receiver's id in the policy.
    pub route: RouteId,
    /// The receiver's identifier in gossip datagrams.
    pub receiver: ReceiverId,
}
