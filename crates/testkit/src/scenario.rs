//! Scenarios: receivers, traffic and scheduled faults of a test, read from TOML or generated at random
//! from a seed.
//!
//! Values are checked while the TOML is parsed, so that an error names the file, the line and the field. The keys of the
//! TOML are the names of the fields; the aliases are the keys of earlier releases.

mod events;
mod generator;
mod parse;
mod receiver_plan;
mod rng;
#[cfg(test)]
mod tests;
mod units;
mod validation;

use serde::{Deserialize, Serialize};

pub use events::{DiscoveryFault, LinkFault, Outage, Phase, ScheduledEvent};
pub use parse::ScenarioError;
pub use receiver_plan::{EndpointPlan, Limit, ReceiverPlan, RetryAfterPolicy};
pub use rng::SeededRng;
pub use units::{Ms, OutOfRange, PerSecond, Share};
pub use validation::{Target, ValidationError};

/// Traffic that the clients generate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages per second to all senders together.
    pub per_s: PerSecond,
    /// Share of messages that are idempotent; the other messages carry idempotency keys.
    #[serde(alias = "status_share")]
    pub idempotent_share: Share,
    /// Share of messages that belong to a burst for one receiver.
    #[serde(alias = "clumps")]
    pub burst_share: Share,
    /// Number of messages in a burst.
    #[serde(alias = "clump")]
    pub burst_len: u16,
    /// Share of messages that the client submits once more after a rejection.
    #[serde(alias = "retries")]
    pub retry_share: Share,
    /// Share of messages whose client disconnects before it receives the response.
    #[serde(alias = "leave")]
    pub abandon_share: Share,
    /// Malformed requests per second.
    #[serde(alias = "bad_per_s")]
    pub malformed_per_s: f64,
}

/// A test: its receivers, traffic and scheduled events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// How long clients submit messages, in seconds.
    pub seconds: u16,
    /// Number of senders, from 1 to 16.
    pub senders: usize,
    /// Time between a change of the endpoint list and its announcement to the first sender.
    #[serde(alias = "list_late_ms")]
    pub list_delay_ms: Ms,
    /// Traffic that the clients generate.
    pub traffic: Traffic,
    /// The receivers, at least one.
    #[serde(alias = "partners")]
    pub receivers: Vec<ReceiverPlan>,
    /// Faults, changes of the endpoint list and restarts, in any order.
    #[serde(default, alias = "happenings")]
    pub events: Vec<ScheduledEvent>,
}

impl Scenario {
    /// Generates a scenario with two senders and faults at random, in which clients submit messages for `seconds`. The
    /// same arguments generate the same scenario on every machine.
    pub fn random(seed: u64, seconds: u16) -> Self {
        generator::scenario(seed, seconds)
    }

    /// Whether a process of a sender is replaced while clients submit messages.
    pub fn has_takeover(&self) -> bool {
        self.events.iter().any(|event| matches!(event, ScheduledEvent::Upgrade { .. }))
    }

    /// Whether an outage makes all endpoints that share a rate limit reject calls or connections at the same time.
    pub fn has_shared_outage(&self) -> bool {
        let is_shared = |number: u16| {
            self.receivers.iter().any(|receiver| receiver.number == number && !receiver.independent)
        };
        self.events.iter().any(|event| match event {
            ScheduledEvent::Outage {
                receiver,
                endpoints,
                outage: Outage::RejectAll | Outage::RefuseConnections,
                ..
            } => endpoints.is_empty() && is_shared(*receiver),
            _ => false,
        })
    }
}
