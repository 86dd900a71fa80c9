//! The parts of an event log's header: message classes, endpoints, and the limits that the checker's rules apply.

use serde::{Deserialize, Serialize};

/// How often a message of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The message is idempotent: the sender may send it again and may reject it even after a possible execution.
    #[serde(rename = "safe")]
    Idempotent,
    /// The message carries an idempotency key: endpoints of a [`KeyGroup`] drop repeats of it while they remember the key.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// The sender must not send the message again after an attempt that the receiver may have executed.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// Which endpoints of a receiver share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// All endpoints of the receiver share one memory.
    #[default]
    All,
    /// The endpoints of one zone share one memory.
    #[serde(rename = "hall")]
    Zone,
    /// Each endpoint has a memory of its own.
    Endpoint,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, as in submissions.
    pub name: String,
    /// How often a message of the class may be executed.
    pub effect: Effect,
    /// Which endpoints share their memory of idempotency keys; used with [`Effect::IdempotencyKey`] alone.
    #[serde(default, rename = "group")]
    pub key_group: KeyGroup,
    /// How long an endpoint remembers an idempotency key, in milliseconds; used with [`Effect::IdempotencyKey`] alone.
    #[serde(default, rename = "window_ms")]
    pub key_window_ms: u64,
    /// Latency objective: time from submission to delivery, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub target_ms: u64,
    /// Time after its submission at which an undelivered message fails, in milliseconds.
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
    /// Number of the receiver that the endpoint belongs to.
    #[serde(rename = "partner")]
    pub receiver: u16,
    /// Name of the zone that the endpoint is in.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the endpoint has a rate limit and outages of its own; otherwise it shares them with the receiver's other
    /// endpoints.
    #[serde(default, rename = "apart")]
    pub independent: bool,
    /// Rate limit when warm, in calls per second: of this endpoint if it is independent, otherwise of all endpoints of the
    /// receiver together.
    pub per_s: f64,
}

/// The limits that the checker's rules apply. Fields that end in `_ms` are times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// How long calls may still begin after a sender was notified that an endpoint is draining.
    pub drain_grace_ms: u64,
    /// Highest permitted ratio of received calls to acceptable calls in [`Rules::overload_window_ms`], for an endpoint
    /// that is warming up.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the window in which the calls to a warming endpoint are counted.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// Share of its rate limit that an endpoint accepts directly after an outage, from 0 to 1.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Time in which the accepted share grows linearly from [`Rules::initial_capacity`] to 1.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
    /// How long calls may still begin after a Retry-After was sent.
    #[serde(rename = "wait_grace_ms")]
    pub retry_after_grace_ms: u64,
    /// Tolerance added to every time limit for delays of sockets and scheduling.
    pub slack_ms: u64,
    /// Grace period after a message's deadline: the final outcome is overdue only when the period has ended.
    #[serde(rename = "end_ms")]
    pub outcome_grace_ms: u64,
    /// Grace period after a restarted process is ready again: an outcome that was due during the restart or this period
    /// is overdue only when the period has ended.
    #[serde(rename = "restart_ms")]
    pub restart_grace_ms: u64,
    /// How long an ordering key is blocked after an attempt that may still be executing.
    #[serde(rename = "order_rest_ms")]
    pub ordering_pause_ms: u64,
    /// Grace period after the platform acknowledges notifications again, in which the sender repeats the notifications
    /// that were not acknowledged: outcomes that were due before its end are overdue only when the period has ended.
    #[serde(default = "default_notification_grace_ms", rename = "notice_ms")]
    pub notification_grace_ms: u64,
}

/// Value of [`Rules::notification_grace_ms`] for logs of earlier releases, which lack the field.
const DEFAULT_NOTIFICATION_GRACE_MS: u64 = 3_000;

fn default_notification_grace_ms() -> u64 {
    DEFAULT_NOTIFICATION_GRACE_MS
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
            outcome_grace_ms: 300,
            restart_grace_ms: 1_500,
            ordering_pause_ms: 1_000,
            notification_grace_ms: DEFAULT_NOTIFICATION_GRACE_MS,
        }
    }
}

impl Rules {
    /// Share of its rate limit that an endpoint accepts `since_us` microseconds after the end of its outage, from 0 to 1.
    pub fn warm_share(&self, since_us: u64) -> f64 {
        let warm_up_progress = since_us as f64 / (self.warm_up_ms.max(1) * 1_000) as f64;
        (self.initial_capacity + (1.0 - self.initial_capacity) * warm_up_progress).min(1.0)
    }
}
