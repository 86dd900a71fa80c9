//! The submission of a message, the response to it, and the attempts to deliver the message.

use bytes::Bytes;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::{DestinationId, MessageHandle, Millis, Outcome, RouteId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The id of a submission: unique in this process, also among submissions of the same message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionId(pub u64);

/// A message that a client submits, and the channel for the response to it.
#[derive(Debug)]
pub struct Submission {
    /// The submission's id.
    pub id: SubmissionId,
    /// The id that the client gave the message.
    pub message_id: MessageId,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The destination.
    pub destination: DestinationId,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<Bytes>,
    /// The payload.
    pub body: Bytes,
    /// The message's deadline.
    pub deadline: Instant,
    /// The channel for the response; closed once the client has disconnected.
    pub response: oneshot::Sender<SubmissionResponse>,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SubmissionResponse {
    /// The message is in the journal: it will be delivered, or its client will be notified.
    Accepted,
    /// The message was shed.
    Refused {
        /// When the client should submit it again; 0 for no advice.
        retry_after: Millis,
    },
    /// The message cannot be delivered.
    Failed,
    /// No receiver of the destination is known.
    UnknownDestination,
}

impl SubmissionResponse {
    /// The message was shed, without advice on when to submit it again.
    pub const REFUSED: Self = Self::Refused { retry_after: 0.0 };
}

/// One attempt to deliver a message.
#[derive(Debug)]
pub struct Call {
    /// The message.
    pub id: MessageHandle,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    /// The receiver to call.
    pub route: RouteId,
    /// The message's id on the wire.
    pub message_id: MessageId,
    /// The idempotency key, if the message has one.
    pub idempotency_key: Option<Bytes>,
    /// The payload.
    pub body: Bytes,
    /// When the response must have arrived.
    pub response_deadline: Instant,
    /// When the request must be written completely; it is not sent later than this.
    pub write_deadline: Instant,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutcome {
    /// The outcome in the policy's terms.
    pub outcome: Outcome,
    /// The backoff that the receiver requests; 0 for none.
    pub retry_after: Millis,
    /// Whether the message is complete: it needs neither a further attempt nor a notification.
    pub completed: bool,
}

impl From<Outcome> for CallOutcome {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, retry_after: 0.0, completed: outcome == Outcome::Ok }
    }
}
