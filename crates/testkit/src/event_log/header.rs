//! What the header of an event log describes: message classes, endpoints and the limits of the rules.

use serde::{Deserialize, Serialize};

/// How often a message of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Idempotent: may be repeated and rejected at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Carries an idempotency key: receivers drop repeats within a [`KeyGroup`], for a time.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// At most once: never sent again after a possible execution.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// Which endpoints of a receiver share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// All endpoints of the receiver.
    #[default]
    All,
    /// The endpoints of one zone.
    #[serde(rename = "hall")]
    Zone,
    /// Each endpoint has its own.
    Endpoint,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// How often a message may be executed.
    pub effect: Effect,
    /// For [`Effect::IdempotencyKey`]: which endpoints drop one another's repeats.
    #[serde(default)]
    pub group: KeyGroup,
    /// For [`Effect::IdempotencyKey`]: how long a key is remembered, in milliseconds.
    #[serde(default)]
    pub window_ms: u64,
    /// Latency objective, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    /// Time after which an undelivered message fails, in milliseconds.
    pub deadline_ms: u64,
    /// Whether messages of one ordering key are sent one at a time, in the order of their submission.
    #[serde(default)]
    pub ordered: bool,
}

/// An endpoint of a receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint, the same for every sender.
    pub id: String,
    /// Number of its receiver.
    #[serde(rename = "partner")]
    pub receiver: u16,
    /// The zone it is in.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether its rate limit and outages are its own rather than its receiver's.
    #[serde(default, rename = "apart")]
    pub independent: bool,
    /// Calls per second it accepts when warm: alone if independent, else all endpoints of its receiver together.
    pub per_s: f64,
}

/// The limits of the rules; times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// How long calls may still begin after a sender was notified that an endpoint drains.
    pub drain_grace_ms: u64,
    /// A warming endpoint is overloaded when it gets more than this multiple of its current capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... over a window of this length.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// Share of its rate that an endpoint accepts directly after an outage.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Time in which that share grows linearly to 1.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
    /// How long calls may still begin after a Retry-After was sent.
    #[serde(rename = "wait_grace_ms")]
    pub retry_after_grace_ms: u64,
    /// Tolerance on every limit for delays of sockets and scheduling.
    pub slack_ms: u64,
    /// Time after a message's deadline within which it has its final outcome.
    #[serde(rename = "end_ms")]
    pub outcome_ms: u64,
    /// Time after a restarted process is ready again within which nothing is overdue.
    pub restart_ms: u64,
    /// How long an ordering key is blocked after an attempt that may still be executing.
    #[serde(rename = "order_rest_ms")]
    pub ordering_pause_ms: u64,
    /// Time within which notifications are repeated after the platform accepts them again.
    #[serde(default = "default_notification_ms", rename = "notice_ms")]
    pub notification_ms: u64,
}

/// Default of [`Rules::notification_ms`], which older logs lack.
const DEFAULT_NOTIFICATION_MS: u64 = 3_000;

fn default_notification_ms() -> u64 {
    DEFAULT_NOTIFICATION_MS
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 1_000,
            overload_multiple: 2.5,
            overload_window_ms: 3_000,
            initial_capacity: 0.17,
            warm_up_ms: 9_300,
            retry_after_grace_ms: 100,
            slack_ms: 50,
            outcome_ms: 300,
            restart_ms: 1_500,
            ordering_pause_ms: 1_000,
            notification_ms: DEFAULT_NOTIFICATION_MS,
        }
    }
}

impl Rules {
    /// Share of its rate that an endpoint accepts at a time after the end of its outage, in microseconds.
    pub fn warm_share(&self, since_us: u64) -> f64 {
        let warm = since_us as f64 / (self.warm_up_ms.max(1) * 1_000) as f64;
        (self.initial_capacity + (1.0 - self.initial_capacity) * warm).min(1.0)
    }
}
