//! The actions that a policy returns to its host, and the demand that it reports.

use super::{LimitScope, MessageHandle, Millis, OutageState, RouteId};

/// A sender's demand at one limit, and the numbers of its calls within that limit since it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Which calls the limit covers.
    pub scope: LimitScope,
    /// The listed limit on the calls of all senders together, in calls per second.
    pub limit: f64,
    /// Number of calls for the waiting messages and for those expected before the next report.
    pub calls_wanted: f64,
    /// Number of calls made.
    pub calls_made: u64,
    /// Number of calls that the destination rejected.
    pub rejected: u64,
    /// Number of calls that failed, without an answer or with an error.
    pub failed: u64,
}

/// An action for the host to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a message. The host combines the attempts that the policy starts by the same
    /// route in one batch of events into calls, each with at most the `max_batch` messages of the
    /// destination's [`Kind`](super::Kind).
    Send {
        /// The message.
        id: MessageHandle,
        /// The route by which the message is sent.
        route: RouteId,
        /// Time-out of the attempt, from now.
        timeout: Millis,
        /// The last byte must be written within this time; otherwise the attempt must not be sent, because
        /// the window of the message's idempotency key may have ended.
        start_within: Millis,
    },
    /// Complete a message as refused: not delivered, and the client may safely submit it again.
    Refuse {
        /// The message.
        id: MessageHandle,
        /// Retry-After for the client; 0 for none.
        retry_after: Millis,
    },
    /// Complete a message as failed; the message may have taken effect.
    Fail {
        /// The message.
        id: MessageHandle,
    },
    /// Report [`Event::Wake`](super::Event::Wake) after a delay.
    Wake {
        /// The delay from now.
        delay: Millis,
        /// Identifies the wake-up in the event.
        token: u64,
    },
    /// Cancel an attempt; the message may have taken effect.
    Cancel {
        /// The message.
        id: MessageHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Send a health check to a route.
    HealthCheck {
        /// The route.
        route: RouteId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Persist an outage, so that it can be restored after a restart. It replaces the persisted outage of the
    /// same scope. The host may delete it after a minute.
    PersistOutage {
        /// Which calls the outage concerns.
        scope: LimitScope,
        /// The state of the outage.
        outage: OutageState,
    },
}
