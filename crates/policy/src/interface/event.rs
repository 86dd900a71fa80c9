//! What a sender is told. No decision.

use super::{AttemptHistory, DestinationId, ListChange, Message, MessageHandle, Millis, RouteId};

/// What is believed of a destination whose routes share a limit, or of a route that is apart, that a sender must
/// still know if it begins anew: or it would send at full pace to what is down or cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// Nothing is the matter with it.
    Healthy,
    /// It is in an outage; a wait that was told lasts for so long from now, 0 if none.
    Down {
        /// What is left of the wait.
        wait: Millis,
    },
    /// It came back from one.
    WarmingUp {
        /// So long ago; not above 0 if a wait must be over first.
        ago: Millis,
        /// The part of the ramp that is this sender's, from 0 to 1.
        part: f64,
    },
}

/// A right to start one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// Names it at its limit; one that is told again and was used stays used.
    pub number: u64,
    /// How long from now it begins; below 0 where it has begun.
    pub from: Millis,
    /// How long from now it is over.
    pub until: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have taken effect or may still.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Called off; it may have taken effect.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent: the message has had all its attempts. Its end is still owed.
    AttemptsExhausted,
}

impl Outcome {
    /// Whether the attempt may have taken effect, or may yet.
    pub fn possibly_executed(self) -> bool {
        match self {
            Self::Ok | Self::Error | Self::Timeout | Self::Reset | Self::Cancelled => true,
            Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::AttemptsExhausted => false,
        }
    }
}

/// What a sender is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of routes.
    List(ListChange),
    /// A message is handed in.
    Message(Message),
    /// A message taken on before a restart is still owed its end.
    Recovered(Message, AttemptHistory),
    /// What was to be remembered over a restart, as it is now. Comes after the list.
    Remembered {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes are apart.
        route: Option<RouteId>,
        /// What was believed of it.
        outage: OutageState,
    },
    /// Another process of this sender was told to wait: a destination, or one route where routes are apart.
    RetryAfter {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes are apart.
        route: Option<RouteId>,
        /// How long from now.
        wait: Millis,
    },
    /// How much of a limit there is for this sender, as all senders' wants have it: a destination's, or that of one
    /// route where routes are apart.
    Capacity {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes are apart.
        route: Option<RouteId>,
        /// Calls a second for each call that is wanted; infinite where there is enough for all.
        calls: f64,
        /// Calls wanted by all senders, those not heard of reckoned like the others; 0 where that is not known.
        wanted: f64,
        /// How long this may be relied on.
        lasts: Millis,
    },
    /// Where rights are kept: the turns at a limit that this sender may use, in place of those told before.
    Permits {
        /// The destination.
        destination: DestinationId,
        /// The route, where routes are apart.
        route: Option<RouteId>,
        /// One for each call.
        turns: Vec<Permit>,
    },
    /// Receivers that others judge to be down, in place of those told before: others of their partner go first.
    EjectedReceivers(Vec<RouteId>),
    /// What of a tenant's quota over all senders is this sender's, by the fleet's counts: messages a second; nothing where
    /// no word of others has come.
    Quota {
        /// The tenant, by index.
        tenant: usize,
        /// Messages a second.
        per_s: Option<f64>,
    },
    /// A streamed answer has begun; the attempt belongs to the client from here.
    Started {
        /// The message.
        id: MessageHandle,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt is over.
    Outcome {
        /// The message.
        id: MessageHandle,
        /// Which attempt, counted from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// For [`Outcome::Rejected`]: the wait that was told; 0 for none.
        retry_after: Millis,
        /// Whether the message is over.
        closed: bool,
    },
    /// Nobody wants the message any more. Attempts out are still reported.
    Dropped(MessageHandle),
    /// A wake-up asked for with [`Action::Wake`].
    Wake(u64),
    /// The result of a probe.
    HealthChecked {
        /// The route.
        route: RouteId,
        /// What came of it.
        outcome: Outcome,
    },
}
