//! Receivers of a scenario: their endpoints, rate limits and service times.

use serde::{Deserialize, Serialize};

use super::units::{Ms, PerSecond, Share};

/// How a receiver limits its rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Limit {
    /// A token bucket that holds half a second's rate.
    Rate,
    /// A count in each fixed window.
    #[serde(alias = "span")]
    Window {
        /// Length of the window.
        #[serde(alias = "span_ms")]
        window_ms: Ms,
    },
}

/// When a receiver sends a Retry-After with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryAfterPolicy {
    /// Share of the rejections that carry one.
    pub share: Share,
    /// Its least value; without it, the time until a call would be accepted.
    #[serde(default)]
    pub wait_ms: Option<Ms>,
}

/// An endpoint of a receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointPlan {
    /// Id of the endpoint.
    pub id: String,
    /// The zone it is in.
    #[serde(alias = "hall")]
    pub zone: String,
}

/// A receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReceiverPlan {
    /// Number by which messages name it.
    pub number: u16,
    /// Name for people.
    pub name: String,
    /// Its endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// Whether each endpoint has a rate limit and outages of its own.
    #[serde(default, alias = "apart")]
    pub independent: bool,
    /// Calls per second that it accepts (each endpoint, if independent).
    pub per_s: PerSecond,
    /// How it limits its rate.
    pub limit: Limit,
    /// Whether rejected calls count against the limit.
    #[serde(default, alias = "refused_count")]
    pub counts_rejected: bool,
    /// When it sends a Retry-After.
    #[serde(alias = "tells")]
    pub retry_after: RetryAfterPolicy,
    /// Mean service time of a call.
    #[serde(alias = "work_ms")]
    pub service_time_ms: Ms,
    /// Calls that may wait for a free worker of an endpoint.
    #[serde(alias = "queue")]
    pub max_queued: u16,
    /// Connections that an endpoint accepts at once.
    #[serde(alias = "connections")]
    pub max_connections: u16,
    /// Weight among the receivers when messages are drawn.
    pub weight: f64,
}
