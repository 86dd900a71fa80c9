//! The settings of a policy.

use super::Millis;

/// What a retry does if an earlier attempt has taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A retry is harmless.
    Idempotent,
    /// The routes of a group discard retries with the same idempotency key for a limited time.
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
    /// Only the route that was used.
    Route,
}

/// How the value of a delivery falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecay {
    /// Evenly, down to the late value at the deadline.
    Linear,
    /// By half for each further latency objective, down to the late value.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Value of a delivery within the latency objective (no unit).
    pub value: f64,
    /// Time within which a delivery has its full value.
    pub latency_objective: Millis,
    /// The latency objective increases by this multiple of the message's estimated processing time.
    pub latency_objective_stretch: f64,
    /// Time from the first submission until a message expires.
    pub deadline: Millis,
    /// Share of the value that remains at the deadline, from 0 to 1.
    pub late_value: f64,
    /// What a retry may do.
    pub effect: Effect,
    /// Whether messages with the same ordering key are sent one at a time, in the order of acceptance.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Maximum number of messages in one call.
    pub max_batch: usize,
    /// Whether each route has its own limit and outages.
    pub limit_per_route: bool,
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
    /// The same, with an error of up to half.
    Rough,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// They are pushed.
    Pushed,
    /// They arrive only after a subscription or fetch.
    OnRequest {
        /// Time without a subscription or fetch after which a sender counts as informed.
        ask_within: Millis,
    },
}

/// The settings of a policy; they do not change while it runs.
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
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of pending messages; the host rejects more.
    pub max_pending: usize,
    /// Maximum number of attempts of a message.
    pub max_attempts: u32,
    /// Maximum Retry-After that clients honour.
    pub max_retry_after: Millis,
    /// Whether a Retry-After is passed on to clients.
    pub retry_after: bool,
    /// Whether routes may be health-checked.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Maximum number of concurrent calls on one connection.
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
    /// Price of a message that a route with its own limit accepts, by zone.
    pub zone_fees: Vec<f64>,
    /// Minimum share of its capacity that a destination has when it recovers from an outage, above 0 up to 1.
    pub recovery_start_share: f64,
    /// Time from the recovery until a destination has its whole capacity.
    pub recovery_duration: Millis,
    /// Multiple of its current capacity above which calls overload a destination.
    pub overload_multiple: f64,
    /// Time for which the calls must exceed that multiple to overload it.
    pub overload_duration: Millis,
    /// Time for which an ordering key is paused after an attempt that may still be running.
    pub ordering_key_pause: Millis,
    /// Minimum time between two batches.
    pub tick: Millis,
}
