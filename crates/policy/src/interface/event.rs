//! The events that a host reports to a policy.

use super::{
    AttemptHistory, CapacityUpdate, ListChange, Message, MessageHandle, Millis, PermitUpdate,
    RememberedOutage, RetryAfterUpdate, RouteId,
};

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// Rejected unprocessed, as above the limit or in an outage.
    Rejected,
    /// No answer in time; it may have taken effect, or may still do so.
    Timeout,
    /// No connection; it has not taken effect.
    ConnectFailed,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Cancelled; it may have taken effect.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent, as no attempt is left. The final outcome of the message is still due.
    AttemptsExhausted,
}

impl Outcome {
    /// Whether the attempt may have taken effect, or may still do so.
    pub fn possibly_executed(self) -> bool {
        match self {
            Self::Ok | Self::Error | Self::Timeout | Self::Reset | Self::Cancelled => true,
            Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::AttemptsExhausted => false,
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
    /// Its outcome.
    pub outcome: Outcome,
    /// For [`Outcome::Rejected`]: its Retry-After; 0 for none.
    pub retry_after: Millis,
    /// Whether the message is completed: it needs neither a retry nor a final outcome.
    pub completed: bool,
}

/// An event since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    List(ListChange),
    /// A message was submitted.
    Message(Message),
    /// A message that was accepted before a restart has no final outcome yet.
    Recovered(Message, AttemptHistory),
    /// An outage from before a restart. Follows the endpoint list.
    Remembered(RememberedOutage),
    /// Another process of this sender has received a Retry-After.
    RetryAfter(RetryAfterUpdate),
    /// This sender's share of a limit has changed.
    Capacity(CapacityUpdate),
    /// The permits of a limit, in place of those reported before.
    Permits(PermitUpdate),
    /// Routes that other senders have ejected as outliers, in place of those reported before; other routes
    /// are preferred.
    EjectedReceivers(Vec<RouteId>),
    /// This sender's share of a tenant's quota, by the usage of the whole fleet.
    Quota {
        /// The tenant, by index.
        tenant: usize,
        /// Messages per second; `None` if the usage of other senders is unknown.
        per_s: Option<f64>,
    },
    /// A response has started to stream: the attempt now lasts until the client or the destination ends it.
    Started {
        /// The message.
        id: MessageHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome(AttemptResult),
    /// The client has disconnected. The results of attempts in flight are still reported.
    Dropped(MessageHandle),
    /// A wake-up that [`Action::Wake`](super::Action::Wake) has requested.
    Wake(u64),
    /// The result of a health check.
    HealthChecked {
        /// The route.
        route: RouteId,
        /// Its outcome.
        outcome: Outcome,
    },
}
