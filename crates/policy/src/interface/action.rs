//! The actions that a policy returns to its host, and its demand.

use super::{LimitScope, MessageHandle, Millis, OutageState, RouteId};

/// A sender's demand at one limit, and the calls that it has made there since it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The limit.
    pub scope: LimitScope,
    /// The listed limit, in calls per second of all senders together.
    pub limit: f64,
    /// Calls for messages that wait, and for those expected before the next report.
    pub calls_wanted: f64,
    /// Calls made.
    pub called: u64,
    /// Calls that the destination rejected.
    pub rejected: u64,
    /// Calls that failed: without an answer, or with an error.
    pub failed: u64,
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a message. Attempts of one batch of events by one route share calls, each
    /// with at most `max_batch` messages of the destination's kind.
    Send {
        /// The message.
        id: MessageHandle,
        /// The route that it is sent by.
        route: RouteId,
        /// Time-out of the attempt.
        timeout: Millis,
        /// The last byte must be written within this time, else the attempt must not be sent: the window of
        /// the message's idempotency key may be over.
        start_within: Millis,
    },
    /// Complete a message undelivered; the client may safely submit it again.
    Refuse {
        /// The message.
        id: MessageHandle,
        /// Retry-After for the client; 0 for none.
        retry_after: Millis,
    },
    /// Complete a message as failed; it may or may not have taken effect.
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
    /// Cancel an attempt; it may have taken effect.
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
    /// Record an outage for the time after a restart, in place of the record of the same scope. The record
    /// may be dropped after a minute.
    Remember {
        /// What is in the outage.
        scope: LimitScope,
        /// Its state.
        outage: OutageState,
    },
}
