//! The events that a host reports to a policy. No decision.

use super::{AttemptHistory, DestinationId, ListChange, Message, MessageHandle, Millis, RouteId};

/// The outage of a destination whose routes share a limit, or of a route with a limit of its own, as far as
/// it must be known after a restart: without it a sender would send at full pace to what is down or warming
/// up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// No outage is known.
    Healthy,
    /// It is in an outage.
    Down {
        /// What is left of its Retry-After; 0 for none.
        wait: Millis,
    },
    /// It has returned from an outage.
    WarmingUp {
        /// Time since its return; below 0 where its Retry-After is not over yet.
        ago: Millis,
        /// This sender's share of the recovery ramp, from 0 to 1.
        part: f64,
    },
}

/// The permission to start one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// Identifies it at its limit; one that was used stays used when it is reported again.
    pub number: u64,
    /// When it becomes valid, from now; below 0 where it is valid already.
    pub from: Millis,
    /// When it expires, from now.
    pub until: Millis,
}

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

/// What has happened since the last batch, or was learnt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    List(ListChange),
    /// A message was submitted.
    Message(Message),
    /// A message that was accepted before a restart has no final outcome yet.
    Recovered(Message, AttemptHistory),
    /// An outage that was to be remembered over a restart, as it is now. Comes after the list.
    Remembered {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes have limits of their own.
        route: Option<RouteId>,
        /// Its state.
        outage: OutageState,
    },
    /// Another process of this sender has received a Retry-After.
    RetryAfter {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes have limits of their own.
        route: Option<RouteId>,
        /// What is left of it.
        wait: Millis,
    },
    /// How much of a limit is left to this sender, by the demand of all senders.
    Capacity {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes have limits of their own.
        route: Option<RouteId>,
        /// Calls per second for each call that is wanted; infinite where the limit suffices for all.
        calls: f64,
        /// Calls wanted by all senders, with an estimate for those that have not reported; 0 where that is
        /// unknown.
        wanted: f64,
        /// How long this is valid.
        lasts: Millis,
    },
    /// The permits of a limit that this sender may use, in place of those reported before.
    Permits {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes have limits of their own.
        route: Option<RouteId>,
        /// One for each call.
        permits: Vec<Permit>,
    },
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
    Outcome {
        /// The message.
        id: MessageHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// For [`Outcome::Rejected`]: its Retry-After; 0 for none.
        retry_after: Millis,
        /// Whether the message is completed.
        closed: bool,
    },
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
