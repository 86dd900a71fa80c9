//! The messages between the engine and the tasks around it. The tasks depend on this module instead of the engine.
//!
//! The peer process is the other process of this sender during a takeover, that is, its successor or its predecessor.
//! It is not one of the other senders of the fleet.
//!
//! Durations are in milliseconds ([`Millis`]), rates in events per second.

mod activity;
mod claims;
mod delivery;
mod endpoints;
mod limits;

use hyper::header::HeaderName;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::{CapacityUpdate, MessageHandle, Millis, Outcome, RouteId};
use tokio::sync::oneshot;

pub(crate) use activity::MAX_CALL_RESULTS;
pub use activity::{AcceptedMessages, ActivityReport, LimitDemand, ListedReceiver, ReceiverResult};
pub use claims::{ClaimAnswer, ClaimNumber, ContentHash, IdClaim};
pub use delivery::{Call, CallOutcome, Submission, SubmissionId, SubmissionResponse};
pub use endpoints::{Endpoint, EndpointList};
pub use limits::{PermitUpdate, TenantQuota};

use crate::metrics::EngineStatus;

/// HTTP header of a message's idempotency key, in client requests and in calls to receivers.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Log target of the events in the life of a message; each log line has the `message_id`.
pub(crate) const MESSAGE_LOG: &str = "story";

/// An event or a request for the engine.
#[derive(Debug)]
pub enum Input {
    /// A client has submitted a message.
    Submitted(Submission),
    /// A client has withdrawn its submission, by disconnecting before it received the response.
    Withdrawn(SubmissionId),
    /// An attempt has finished.
    AttemptFinished {
        /// The message's handle.
        id: MessageHandle,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// The outcome of the attempt's call.
        outcome: CallOutcome,
    },
    /// A health check has finished.
    HealthChecked {
        /// The checked receiver, by its id in the policy.
        route: RouteId,
        /// The outcome of the check.
        outcome: Outcome,
    },
    /// Discovery has sent an endpoint list, or the changes to one.
    List(EndpointList),
    /// The platform has acknowledged the notifications of these messages.
    NotificationsAcknowledged(Vec<MessageId>),
    /// A successor process has connected.
    SuccessorConnected,
    /// The connection to the peer process has closed.
    PeerProcessDisconnected,
    /// A receiver has requested a backoff in a response to the peer process. This process must respect it too.
    PeerProcessBackoff {
        /// The receiver's destination.
        destination: u16,
        /// The receiver's id; `None` if the backoff applies to the whole destination.
        receiver: Option<String>,
        /// The remaining time of the backoff, in milliseconds. The value is not validated yet: the peer process may
        /// send any number.
        wait: Millis,
    },
    /// The number of calls that the peer process has in flight. Both processes share the connection slots of the
    /// sender.
    PeerProcessCallsInFlight(usize),
    /// The successor accepts messages from now on.
    SuccessorAcceptsMessages,
    /// The peer process claims the id of a new message.
    PeerProcessClaim(IdClaim),
    /// The peer process has answered a claim of this process.
    ClaimAnswered {
        /// The claim.
        number: ClaimNumber,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The part of the journal's disk budget that the owner leaves to this process, its successor, in bytes.
    PeerProcessDiskSpace(u64),
    /// Take over the journal if the process that owns it has ended. The response is whether this process owns the
    /// journal now.
    TakeOver(oneshot::Sender<bool>),
    /// Report the current demand, and the activity since the last report.
    ReportActivity(oneshot::Sender<ActivityReport>),
    /// This sender's shares of the limits of destinations and receivers, for the limits that it has demand for.
    CapacityUpdates(Vec<CapacityUpdate>),
    /// The permits that this sender holds, for each limit whose calls require permits.
    Permits(Vec<PermitUpdate>),
    /// The receivers that the other senders of this zone consider down; replaces the previous set.
    EjectedReceivers(Vec<RouteId>),
    /// This sender's shares of the tenants' quotas.
    Quotas(Vec<TenantQuota>),
    /// Report the engine's status.
    QueryStatus(oneshot::Sender<EngineStatus>),
    /// Shut down gracefully.
    Stop,
}
