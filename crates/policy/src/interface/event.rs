//! The events that a host reports to a policy.

use super::{
    AttemptHistory, CapacityUpdate, ListChange, Message, MessageHandle, Millis, PermitUpdate,
    PersistedOutage, RetryAfterUpdate, RouteId,
};

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Ok,
    /// The destination answered with an error; the message may have taken effect.
    Error,
    /// The destination rejected the message without processing it, because of the limit or an outage.
    Rejected,
    /// No answer was received in time; the message may have taken effect, or may still do so.
    Timeout,
    /// The connection could not be opened; the message has not taken effect.
    ConnectFailed,
    /// The connection was closed or reset before the answer; the message may have taken effect.
    Reset,
    /// The attempt was cancelled; the message may have taken effect.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The host could not start the attempt, for a reason that does not depend on the receiver. It does not
    /// count as an attempt: the next one has the same number.
    NotStarted,
    /// The attempt was never sent, because the message has had the maximum number of attempts. The policy
    /// must still give the message its final outcome.
    AttemptsExhausted,
}

impl Outcome {
    /// Whether the attempt may have taken effect, or may still do so.
    pub fn possibly_executed(self) -> bool {
        match self {
            Self::Ok | Self::Error | Self::Timeout | Self::Reset | Self::Cancelled => true,
            Self::Rejected
            | Self::ConnectFailed
            | Self::NotSent
            | Self::NotStarted
            | Self::AttemptsExhausted => false,
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub id: MessageHandle,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Retry-After of the answer, for [`Outcome::Rejected`]; 0 for none.
    pub retry_after: Millis,
    /// Whether the message is completed, so that it needs neither a retry nor a final outcome.
    pub completed: bool,
}

/// An event that the host reports in a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    List(ListChange),
    /// A client has submitted a message.
    Message(Message),
    /// A message that was accepted before a restart has no final outcome yet.
    Recovered(Message, AttemptHistory),
    /// An outage that was persisted before a restart. It must be reported after the first [`Event::List`].
    PersistedOutage(PersistedOutage),
    /// Another process of this sender has received a Retry-After.
    RetryAfter(RetryAfterUpdate),
    /// This sender's share of a limit has changed.
    Capacity(CapacityUpdate),
    /// The current permits of a limit. They replace all permits reported earlier for that limit.
    Permits(PermitUpdate),
    /// The routes that other senders currently eject as outliers. They replace all routes reported earlier.
    /// The policy prefers other routes.
    EjectedRoutes(Vec<RouteId>),
    /// This sender's share of a tenant's quota, calculated from the usage of the whole fleet.
    Quota {
        /// Index of the tenant in the settings.
        tenant: usize,
        /// The share in messages per second; `None` if the usage of other senders is unknown.
        messages_per_s: Option<f64>,
    },
    /// A response has started to stream; the attempt now lasts until the client or the destination ends it.
    ResponseStarted {
        /// The message.
        id: MessageHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome(AttemptResult),
    /// The client has disconnected. The results of attempts in flight are still reported.
    ClientDisconnected(MessageHandle),
    /// A wake-up that [`Action::Wake`](super::Action::Wake) requested has fired; contains its token.
    Wake(u64),
    /// The result of a health check.
    HealthChecked {
        /// The route.
        route: RouteId,
        /// Outcome of the health check.
        outcome: Outcome,
    },
}
