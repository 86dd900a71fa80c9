//! The messages between the engine and the tasks around it, so that the tasks do not depend on the engine.
//!
//! Spans of time are milliseconds ([`Millis`]); rates are events per second.

mod activity;
mod delivery;
mod endpoints;
mod limits;

use hyper::header::HeaderName;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::{CapacityUpdate, MessageHandle, Millis, Outcome, RouteId};
use tokio::sync::oneshot;

pub(crate) use activity::MAX_CALL_RESULTS;
pub use activity::{AcceptedMessages, ActivityReport, LimitDemand, ListedReceiver, ReceiverResult};
pub use delivery::{Call, CallOutcome, Submission, SubmissionId, SubmissionResponse};
pub use endpoints::{Endpoint, EndpointList};
pub use limits::{PermitUpdate, TenantQuota};

use crate::metrics::EngineStatus;

/// HTTP header of a message's idempotency key, in client requests and in calls to receivers.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Log target of the events of each message; each line has its `message_id`.
pub(crate) const MESSAGE_LOG: &str = "story";

/// An event for the engine.
#[derive(Debug)]
pub enum Input {
    /// A client has submitted a message.
    Submitted(Submission),
    /// The client of this submission has disconnected before it had a response.
    Withdrawn(SubmissionId),
    /// An attempt has ended.
    Outcome {
        /// The message.
        id: MessageHandle,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// How the attempt ended.
        result: CallOutcome,
    },
    /// A health check has ended.
    HealthChecked {
        /// The receiver that was checked.
        route: RouteId,
        /// How the check ended.
        outcome: Outcome,
    },
    /// Discovery has sent an endpoint list, or the changes to one.
    List(EndpointList),
    /// The platform has acknowledged the notifications of these messages.
    NotificationsAcknowledged(Vec<MessageId>),
    /// A successor process has connected.
    SuccessorConnected,
    /// The connection to the peer process, successor or predecessor, has ended.
    PeerDisconnected,
    /// A receiver has requested a backoff from the peer process.
    RetryAfter {
        /// The receiver's destination.
        destination: u16,
        /// The receiver's id; `None` if the backoff applies to the whole destination.
        receiver: Option<String>,
        /// The remaining time. Received from another process, so it may be any number.
        wait: Millis,
    },
    /// The number of calls that the peer process has in flight.
    PeerCallsInFlight(usize),
    /// Take over the journal if its owner has ended. The response is whether this process owns the journal.
    TakeOver(oneshot::Sender<bool>),
    /// Report the current demand, and the activity since the last report.
    ReportActivity(oneshot::Sender<ActivityReport>),
    /// This sender's shares of the limits that it has demand for.
    CapacityUpdates(Vec<CapacityUpdate>),
    /// The permits that this sender holds, for each limit that needs them.
    Permits(Vec<PermitUpdate>),
    /// The receivers that the other senders of this zone consider down. Replaces the previous set.
    EjectedReceivers(Vec<RouteId>),
    /// This sender's shares of the tenants' quotas.
    Quotas(Vec<TenantQuota>),
    /// Report the engine's status.
    QueryStatus(oneshot::Sender<EngineStatus>),
    /// Shut down gracefully.
    Stop,
}
