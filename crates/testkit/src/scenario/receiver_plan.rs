//! The receivers of a scenario, with their endpoints, rate limits and service times.

use serde::{Deserialize, Serialize};

use super::units::{Ms, PerSecond, Share};

/// How a receiver limits the rate of the calls that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Limit {
    /// A token bucket whose capacity is the number of calls that the rate permits in half a second.
    Rate,
    /// A maximum number of calls in each fixed window.
    #[serde(alias = "span")]
    Window {
        /// Length of the window.
        #[serde(alias = "span_ms")]
        window_ms: Ms,
    },
}

/// Which rejections carry a Retry-After, and its value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryAfterPolicy {
    /// Share of the rejections that carry a Retry-After.
    pub share: Share,
    /// Lower bound of the Retry-After; `None` for no lower bound. Above the bound, the value is the time until the
    /// receiver would accept a call.
    #[serde(default)]
    pub wait_ms: Option<Ms>,
}

/// An endpoint of a planned receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointPlan {
    /// Id of the endpoint, unique in the scenario.
    pub id: String,
    /// Name of the zone that the endpoint is in.
    #[serde(alias = "hall")]
    pub zone: String,
}

/// A receiver of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReceiverPlan {
    /// Number by which messages name the receiver.
    pub number: u16,
    /// Name for display.
    pub name: String,
    /// The receiver's endpoints, at least one.
    pub endpoints: Vec<EndpointPlan>,
    /// Whether each endpoint has a rate limit and outages of its own.
    #[serde(default, alias = "apart")]
    pub independent: bool,
    /// Rate limit in calls per second: of each endpoint if they are independent, otherwise of all endpoints together.
    pub per_s: PerSecond,
    /// How the rate limit is enforced.
    pub limit: Limit,
    /// Whether rejected calls count towards the rate limit.
    #[serde(default, alias = "refused_count")]
    pub counts_rejected: bool,
    /// Which rejections carry a Retry-After.
    #[serde(alias = "tells")]
    pub retry_after: RetryAfterPolicy,
    /// Mean service time of a call.
    #[serde(alias = "work_ms")]
    pub service_time_ms: Ms,
    /// Maximum number of calls that wait for a free worker of an endpoint; further calls are rejected.
    #[serde(alias = "queue")]
    pub max_queued: u16,
    /// Maximum number of connections that an endpoint has open at the same time.
    #[serde(alias = "connections")]
    pub max_connections: u16,
    /// Weight of the receiver in the random choice of a message's receiver, relative to the weights of the others;
    /// above 0.
    pub weight: f64,
}
