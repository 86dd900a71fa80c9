//! Scenarios: receivers, traffic and scheduled faults of a test, read from TOML or drawn from a seed.
//!
//! Figures are checked where they are read, so that an error names the file, the line and the field. The TOML
//! has the names of the fields; the aliases are the names in earlier releases.

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
pub use validation::{Inconsistency, Target};

/// Traffic of the clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages per second to all senders together.
    pub per_s: PerSecond,
    /// Share of idempotent messages; the others have idempotency keys.
    #[serde(alias = "status_share")]
    pub idempotent_share: Share,
    /// Share of messages that are in bursts for one receiver.
    #[serde(alias = "clumps")]
    pub burst_share: Share,
    /// Messages in a burst.
    #[serde(alias = "clump")]
    pub burst_len: u16,
    /// Share of clients that submit once more after a rejection.
    #[serde(alias = "retries")]
    pub retry_share: Share,
    /// Share of clients that disconnect before the response.
    #[serde(alias = "leave")]
    pub abandon_share: Share,
    /// Malformed requests per second.
    #[serde(alias = "bad_per_s")]
    pub malformed_per_s: f64,
}

/// A test with its receivers, traffic and scheduled events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// How long clients submit messages, in seconds.
    pub seconds: u16,
    /// Number of senders, from 1 to 16.
    pub senders: usize,
    /// Delay with which changes of the endpoint list reach senders.
    #[serde(alias = "list_late_ms")]
    pub list_delay_ms: Ms,
    /// Traffic of the clients.
    pub traffic: Traffic,
    /// The receivers.
    #[serde(alias = "partners")]
    pub receivers: Vec<ReceiverPlan>,
    /// What happens at set times.
    #[serde(default, alias = "happenings")]
    pub events: Vec<ScheduledEvent>,
}

impl Scenario {
    /// Draws a scenario of `seconds` with two senders and faults: the same for a seed on every machine.
    pub fn random(seed: u64, seconds: u16) -> Self {
        generator::scenario(seed, seconds)
    }

    /// Whether a sender is replaced under load.
    pub fn has_takeover(&self) -> bool {
        self.events.iter().any(|event| matches!(event, ScheduledEvent::Upgrade { .. }))
    }

    /// Whether all endpoints of a receiver with one shared limit reject calls or connections at once.
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
