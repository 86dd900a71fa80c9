//! The events that a host reports to a policy. No decision.

use super::{
    AttemptHistory, CapacityUpdate, ListChange, Message, MessageHandle, Millis, PermitUpdate,
    RememberedOutage, RetryAfterUpdate, RouteId,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// Rejected unprocessed, as above the limit or in an outage.
    Rejected,
    /// No answer in time; it may have taken effect or may still.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Cancelled; it may have taken effect.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent: the message has had all its attempts. Its final outcome is still due.
    AttemptsExhausted,
}

impl Outcome {
    /// Whether the attempt may have taken effect, or may still.
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
    /// How it ended.
    pub outcome: Outcome,
    /// For [`Outcome::Rejected`]: its Retry-After; 0 for none.
    pub retry_after: Millis,
    /// Whether the message is completed: it needs neither a retry nor a final outcome.
    pub completed: bool,
}

/// What has happened since the last batch, or was learnt.
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
    /// Routes that other senders have ejected as outliers, in place of those reported before: others go
    /// first.
    EjectedReceivers(Vec<RouteId>),
    /// This sender's share of a tenant's quota, by the usage of the whole fleet.
    Quota {
        /// The tenant, by index.
        tenant: usize,
        /// Messages per second; none where nothing is known of other senders.
        per_s: Option<f64>,
    },
    /// A streamed response has begun: from here the attempt takes as long as the client lets it.
    Started {
        /// The message.
        id: MessageHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    Outcome(AttemptResult),
    /// The client has gone away. Attempts in flight are still reported.
    Dropped(MessageHandle),
    /// A wake-up asked for with [`Action::Wake`](super::Action::Wake).
    Wake(u64),
    /// The result of a health check.
    HealthChecked {
        /// The route.
        route: RouteId,
        /// Its outcome.
        outcome: Outcome,
    },
}
