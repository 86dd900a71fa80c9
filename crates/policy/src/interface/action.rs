//! What a sender wants done, and what it wants. No decision.

use super::{DestinationId, MessageHandle, Millis, OutageState, RouteId};

/// What a sender wants of a limit, and what it has done to it so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The destination.
    pub destination: DestinationId,
    /// The route, where routes are apart.
    pub route: Option<RouteId>,
    /// The limit as the list tells it, calls a second from all senders together.
    pub limit: f64,
    /// Calls wanted now: what waits, and what comes before the next word.
    pub wanted: f64,
    /// Calls made so far.
    pub called: u64,
    /// ...that were refused.
    pub refused: u64,
    /// ...that failed: not answered, or not well.
    pub failed: u64,
}

/// What a sender wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a message. Sends of one batch to one route share a call as far as its
    /// kind's `bundle_max` allows.
    Send {
        /// The message.
        id: MessageHandle,
        /// Where to.
        route: RouteId,
        /// The attempt's time-out.
        timeout: Millis,
        /// How soon its last byte must be out; else it must not go any more, as when its key's window is over.
        within: Millis,
    },
    /// End a message undelivered; the client may safely come again.
    Refuse {
        /// The message.
        id: MessageHandle,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Millis,
    },
    /// End a message as failed; nothing is promised.
    Fail {
        /// The message.
        id: MessageHandle,
    },
    /// Ask for [`Event::Wake`] after a delay.
    Wake {
        /// From now.
        delay: Millis,
        /// Comes back in the event.
        token: u64,
    },
    /// Stop waiting for an attempt; it may have taken effect.
    Cancel {
        /// The message.
        id: MessageHandle,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// Probe a route.
    HealthCheck {
        /// The route.
        route: RouteId,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Remember this over a restart, in place of what was to be remembered of the same. Worth no more than a
    /// minute: by then it is known anew.
    Remember {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes are apart.
        route: Option<RouteId>,
        /// What is believed of it.
        outage: OutageState,
    },
}
