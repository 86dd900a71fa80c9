//! The settings of a policy.

use super::Millis;

/// The effect of a retry if an earlier attempt has already taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The message is idempotent, so any retry is safe.
    Idempotent,
    /// Retries are safe within a group of routes for a limited time: the group discards retries with the same
    /// idempotency key.
    IdempotencyKey {
        /// The routes that share their idempotency keys.
        group: KeyGroup,
        /// Time for which a key is stored, from the time the first possibly executed attempt was sent.
        window: Millis,
    },
    /// The message must not take effect twice, so there is no retry after a possible execution.
    NotIdempotent,
}

/// The routes of a destination that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// All routes of the destination.
    All,
    /// The routes of the destination in one zone.
    Zone,
    /// Only the route that was used for the first attempt.
    Route,
}

/// How the value of a delivery decreases after the latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecay {
    /// Linearly, down to the late value at the deadline.
    Linear,
    /// By half for each period of one more latency objective, down to the late value.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Value of a delivery within the latency objective (no unit).
    pub value: f64,
    /// Time within which a delivery has its full value.
    pub latency_objective: Millis,
    /// Multiple of the message's estimated processing time that is added to the latency objective.
    pub latency_objective_stretch: f64,
    /// Time from the first submission until a message expires.
    pub deadline: Millis,
    /// Fraction of the value that remains at the deadline, from 0 to 1.
    pub late_value: f64,
    /// The effect of a retry.
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
    /// Quota of the tenant over all senders, in messages per second.
    pub quota_per_s: f64,
}

/// The meaning of the listed rate of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateHint {
    /// The listed rate is not used.
    None,
    /// Calls per second that the destination, or the route, accepts from all senders together.
    Nominal,
    /// The same as [`RateHint::Nominal`], with an error of up to half.
    Rough,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Changes are received only after a subscription or fetch.
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
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a message that exceeds its tenant's quota, as a fraction of the value of its class.
    pub over_quota_value: f64,
    /// How the value of a delivery decreases after the latency objective.
    pub late_decay: LateDecay,
    /// Maximum number of calls in flight to all destinations.
    pub slots: usize,
    /// Maximum number of pending messages; the host rejects further ones.
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
    /// Time after which a connection attempt fails.
    pub connect_timeout: Millis,
    /// The meaning of listed rates.
    pub rate_hint: RateHint,
    /// How changes of the endpoint list arrive.
    pub discovery: Discovery,
    /// Price of an attempt to another zone (no unit).
    pub cross_zone_price: f64,
    /// Price of a message that a route with its own limit accepts, by zone of the route (no unit).
    pub zone_fees: Vec<f64>,
    /// Minimum fraction of its capacity that a destination has at the start of its recovery, above 0, up to
    /// 1.
    pub recovery_start_share: f64,
    /// Time from the start of the recovery until a destination has its full capacity.
    pub recovery_duration: Millis,
    /// Multiple of the current capacity of a destination above which calls overload it.
    pub overload_multiple: f64,
    /// Time for which calls must exceed `overload_multiple` to overload a destination.
    pub overload_duration: Millis,
    /// Time for which an ordering key is paused after an attempt that may still be running.
    pub ordering_key_pause: Millis,
    /// Minimum time between two batches.
    pub tick: Millis,
}
