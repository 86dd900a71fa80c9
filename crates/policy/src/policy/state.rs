//! The state that the policy keeps of destinations, throttles, routes and messages: types alone. No decision.

use rudderspindle_gossip::{ArrivalRate, CapacityShare};

use crate::calls::Calls;
use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{DestinationId, Listing, MessageHandle, Millis, RouteId};
use crate::latency::Latency;
use crate::priority_weight::PriorityWeight;
use crate::window::Window;

/// A receiver's system. Dropped once its last route is and no message waits for it.
#[derive(Debug, Default)]
pub(super) struct Destination {
    /// Messages that one call may carry.
    pub(super) max_bundle: usize,
    /// Whether each route has a throttle of its own.
    pub(super) routes_apart: bool,
    pub(super) routes: Vec<Route>,
    /// The throttle of all routes, unless each has its own.
    pub(super) shared_throttle: Throttle,
    /// Messages that may be decided on: not completed and with no attempt in flight.
    pub(super) waiting: Vec<MessageHandle>,
    pub(super) calls: Calls,
    pub(super) arrival_rate: ArrivalRate,
}

/// Where requests and accepts are counted, and what paces the calls that share a limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Throttle {
    pub(super) window: Window,
    /// No call goes before the last Retry-After is over.
    pub(super) retry_after_until: Millis,
    /// When the next call may draw whether it goes.
    pub(super) next_draw_at: Millis,
    /// Calls per second that the endpoint list grants to all senders together.
    pub(super) limit: f64,
    /// The pace in calls per second while nothing is known.
    pub(super) initial_pace: f64,
    /// The pace in calls per second now.
    pub(super) pace: f64,
    /// How many times as fast the count window runs, 1 or more.
    pub(super) time_scale: f64,
    /// When a rejection last reduced the pace.
    pub(super) pace_cut_at: Millis,
    pub(super) latency: Latency,
    pub(super) rejections: ConsecutiveRejections,
    /// The circuit breaker of its route, or of all routes that share it.
    pub(super) breaker: CircuitBreaker,
    pub(super) capacity: CapacityShare,
}

/// Rejections since the last call that was let in.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConsecutiveRejections {
    pub(super) count: u32,
    /// When the first of them came.
    pub(super) first_at: Millis,
}

/// An endpoint. Dropped some time after it was removed, once no call is in flight to it.
#[derive(Debug, Default)]
pub(super) struct Route {
    pub(super) id: RouteId,
    pub(super) throttle: Throttle,
    pub(super) zone: u8,
    pub(super) listing: Listing,
    /// Since when the list no longer names it.
    pub(super) removed_at: Option<Millis>,
    pub(super) calls_in_flight: usize,
    pub(super) last_used_at: Millis,
    /// Whether other senders have ejected it as an outlier.
    pub(super) ejected: bool,
}

/// A message that was accepted; kept until it is completed and no attempt is in flight.
#[derive(Debug, Default)]
pub(super) struct PendingMessage {
    pub(super) weight: PriorityWeight,
    pub(super) destination: DestinationId,
    /// The ordering key; 0 for none.
    pub(super) ordering_key: u64,
    /// While it waits: when its final outcome is due.
    pub(super) outcome_due_at: Millis,
    pub(super) attempts: u32,
    pub(super) in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have taken effect.
    pub(super) possibly_executed: Option<PossibleExecution>,
    /// Whether the window counts it as a request that was dropped locally.
    pub(super) counted_as_dropped: bool,
    pub(super) completed: bool,
}

/// The attempt of a message that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlightAttempt {
    /// Number of the attempt, from 0.
    pub(super) attempt: u32,
    /// The call that carries it.
    pub(super) call: u64,
}

/// When, by which route and in which zone a message may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PossibleExecution {
    pub(super) sent_at: Millis,
    pub(super) route: RouteId,
    pub(super) zone: u8,
}

/// What a sender wants of one limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitDemand {
    /// Calls wanted now.
    pub(super) wanted: f64,
    /// The limit, in calls per second of all senders together.
    pub(super) limit: f64,
}
