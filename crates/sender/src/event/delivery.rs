//! Submissions of messages with their responses, and calls to receivers with their outcomes.

use bytes::Bytes;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::{DestinationId, MessageHandle, Millis, Outcome, RouteId};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The id of a submission: unique in this process, also among submissions of the same message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionId(pub u64);

/// A message that a client submits, and the sender of the response.
#[derive(Debug)]
pub struct Submission {
    /// Identifies the submission, not the message.
    pub id: SubmissionId,
    /// The id that the client gave the message.
    pub message_id: MessageId,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The destination of the message.
    pub destination: DestinationId,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<Bytes>,
    /// The message's payload.
    pub body: Bytes,
    /// The message's deadline.
    pub deadline: Instant,
    /// Sends the response to the client's connection; closed once the client has disconnected.
    pub response_sender: oneshot::Sender<SubmissionResponse>,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SubmissionResponse {
    /// The message is in the journal: it will be delivered, or its client will be notified.
    Accepted,
    /// The message was shed.
    Refused {
        /// Time after which the client should submit the message again, in milliseconds; 0 if no time is given.
        retry_after: Millis,
    },
    /// The message cannot be delivered.
    Failed,
    /// No receiver of the destination is known.
    UnknownDestination,
}

impl SubmissionResponse {
    /// The message was shed, and the client is not told when to submit it again.
    pub const REFUSED_WITHOUT_RETRY_AFTER: Self = Self::Refused { retry_after: 0.0 };
}

/// The call that makes one attempt to deliver a message.
#[derive(Debug)]
pub struct Call {
    /// The message's handle.
    pub id: MessageHandle,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    /// The receiver to call, by its id in the policy.
    pub route: RouteId,
    /// The id that the client gave the message; it is sent to the receiver.
    pub message_id: MessageId,
    /// The idempotency key, if the message has one.
    pub idempotency_key: Option<Bytes>,
    /// The message's payload.
    pub body: Bytes,
    /// Whether the message may be executed more than once.
    pub idempotent: bool,
    /// When the response must have arrived; a later response does not count.
    pub response_deadline: Instant,
    /// When the request must be written completely; no part of it is sent after this time.
    pub write_deadline: Instant,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutcome {
    /// The outcome as the policy classifies it.
    pub outcome: Outcome,
    /// The backoff that the receiver requests, in milliseconds; 0 for none.
    pub retry_after: Millis,
    /// Whether this outcome completes the message, that is, the message needs neither a further attempt nor a
    /// notification.
    pub completed: bool,
}

impl From<Outcome> for CallOutcome {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, retry_after: 0.0, completed: outcome == Outcome::Ok }
    }
}
