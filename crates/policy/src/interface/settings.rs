//! What a sender is told when it comes up. No decision.

use super::Millis;

/// What a further attempt may do to a message that may already have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Idempotent: may be repeated at will.
    Idempotent,
    /// Repeats of its key are discarded by the routes of one group for some time.
    IdempotencyKey {
        /// The routes that share the memory of keys.
        group: KeyGroup,
        /// How long a key is remembered, counted from the send of the first attempt that may have run.
        window: Millis,
    },
    /// Must not take effect twice.
    NotIdempotent,
}

/// The routes of a destination that share one memory of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// All routes of the destination.
    All,
    /// The routes of the destination in one zone.
    Zone,
    /// Only the route that was used.
    Route,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecay {
    /// Evenly, down to the late worth at the deadline.
    Linear,
    /// By half with each further aim, not under the late worth.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Worth of a message delivered within its aim.
    pub value: f64,
    /// Delivered within this time it earns its full worth.
    pub latency_objective: Millis,
    /// The aim grows by this multiple of the message's own work; 0 where it does not.
    pub latency_objective_stretch: f64,
    /// How long a message may be delivered, from its first hand-in.
    pub deadline: Millis,
    /// Share of the worth that is left at the deadline.
    pub late_value: f64,
    /// What a repeat may do.
    pub effect: Effect,
    /// Whether messages with one ordering key go one at a time, in the order they were taken.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Messages that may share one call at the most.
    pub bundle_max: usize,
    /// Whether each route has a limit, a pace and outages of its own.
    pub routes_apart: bool,
}

/// A customer whose messages are counted against a share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second within its share, over all senders.
    pub quota_per_s: f64,
}

/// What the listed rate of a route means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateHint {
    /// Nothing.
    None,
    /// Calls a second that the destination (or the route apart) takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// How word of the list of routes comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// Changes come by themselves.
    Pushed,
    /// Changes come only to those that subscribe or fetch.
    OnRequest {
        /// Without asking for so long, a sender counts as told.
        ask_within: Millis,
    },
}

/// Everything a sender is told when it comes up.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone this sender stands in.
    pub zone: u8,
    /// Senders in this tier, this one included.
    pub peers_total: usize,
    /// Classes of message, by index.
    pub classes: Vec<Class>,
    /// Kinds of destination, by index.
    pub kinds: Vec<Kind>,
    /// Tenants, by index; some deployments have none.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's share, as a fraction of its class's.
    pub over_quota_value: f64,
    /// How worth falls after the aim.
    pub late_decay: LateDecay,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Messages held at most, sent or not; more are turned away before the sender.
    pub max_pending: usize,
    /// Attempts for a message at most.
    pub max_attempts: u32,
    /// Longest advice to stay away that a client honours.
    pub max_retry_after: Millis,
    /// Whether advice to stay away is passed on.
    pub retry_after: bool,
    /// Whether routes may be probed.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Calls that one connection carries at once.
    pub streams_per_connection: usize,
    /// After so long an idle connection closes.
    pub idle_close: Millis,
    /// After so long a connection that is not made has failed.
    pub connect_timeout: Millis,
    /// What listed rates mean.
    pub rate_hint: RateHint,
    /// How the list of routes comes.
    pub discovery: Discovery,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Price of a message that a route apart takes on, by zone.
    pub zone_fees: Vec<f64>,
    /// A returning destination has this share of its capacity or more.
    pub recovery_start_share: f64,
    /// And all of it after this at the latest.
    pub recovery_duration: Millis,
    /// Sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// for this long, it falls over.
    pub overload_duration: Millis,
    /// Rest of an ordering key after an attempt that may still be running.
    pub ordering_key_pause: Millis,
    /// Shortest time between two batches.
    pub tick: Millis,
}
