//! The settings of a policy.

use super::Millis;

/// What a retry does if an earlier attempt has taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A retry is harmless.
    Idempotent,
    /// The routes of one group discard retries with the same idempotency key for some time.
    IdempotencyKey {
        /// The routes that share their idempotency keys.
        group: KeyGroup,
        /// How long a key is remembered, from the time the first possibly executed attempt was sent.
        window: Millis,
    },
    /// It must not take effect twice: no retry.
    NotIdempotent,
}

/// The routes of a destination that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// All routes of the destination.
    All,
    /// The routes of the destination in one zone.
    Zone,
    /// The route that was used, alone.
    Route,
}

/// How the value of a delivery falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecay {
    /// Evenly, down to the late value at the deadline.
    Linear,
    /// By half with each further latency objective, but not below the late value.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Value of a delivery within the latency objective (no unit).
    pub value: f64,
    /// A delivery within this time has its full value.
    pub latency_objective: Millis,
    /// The latency objective grows by this multiple of the message's estimated work; 0 where it does not.
    pub latency_objective_stretch: f64,
    /// Time from the first submission until a message expires.
    pub deadline: Millis,
    /// Share of the value that is left at the deadline, from 0 to 1.
    pub late_value: f64,
    /// What a retry may do.
    pub effect: Effect,
    /// Whether messages with the same ordering key go one at a time, in the order they were accepted.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Most messages that may share one call.
    pub bundle_max: usize,
    /// Whether each route has a limit and outages of its own.
    pub routes_apart: bool,
}

/// A customer with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Messages per second within its quota, over all senders.
    pub quota_per_s: f64,
}

/// What the listed rate of a route means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateHint {
    /// Nothing.
    None,
    /// Calls per second that the destination, or the route, accepts from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// They are pushed.
    Pushed,
    /// They arrive only after a subscription or fetch.
    OnRequest {
        /// A sender that has not asked for so long counts as informed.
        ask_within: Millis,
    },
}

/// The settings of a policy; fixed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this sender.
    pub zone: u8,
    /// Number of senders in the fleet, this one included.
    pub peers_total: usize,
    /// Classes of message, by index.
    pub classes: Vec<Class>,
    /// Kinds of destination, by index.
    pub kinds: Vec<Kind>,
    /// Tenants, by index; some deployments have none.
    pub tenants: Vec<Tenant>,
    /// Value of a message beyond its tenant's quota, as a fraction of its class's.
    pub over_quota_value: f64,
    /// How values fall after the latency objective.
    pub late_decay: LateDecay,
    /// Most calls in flight.
    pub slots: usize,
    /// Most pending messages, sent or not; more are rejected before they reach the policy.
    pub max_pending: usize,
    /// Most attempts for one message.
    pub max_attempts: u32,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Millis,
    /// Whether a Retry-After is passed on to clients.
    pub retry_after: bool,
    /// Whether routes may be health-checked.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Concurrent calls on one connection.
    pub streams_per_connection: usize,
    /// Time after which an idle connection is closed.
    pub idle_close: Millis,
    /// Time after which connecting has failed.
    pub connect_timeout: Millis,
    /// What listed rates mean.
    pub rate_hint: RateHint,
    /// How changes of the endpoint list arrive.
    pub discovery: Discovery,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Price of a message that a route with a limit of its own accepts, by zone.
    pub zone_fees: Vec<f64>,
    /// Least share of its capacity that a destination has when it returns, above 0 up to 1.
    pub recovery_start_share: f64,
    /// Time after its return by which a destination has all of its capacity.
    pub recovery_duration: Millis,
    /// A destination fails if it is sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// for this long.
    pub overload_duration: Millis,
    /// Pause of an ordering key after an attempt that may still be running.
    pub ordering_key_pause: Millis,
    /// Shortest time between two batches.
    pub tick: Millis,
}
