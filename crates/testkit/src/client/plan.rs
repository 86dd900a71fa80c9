//! Draws what clients submit from a scenario's seed.
//!
//! The order of the draws is fixed: a scenario stands for the same messages in all versions.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::{ReceiverPlan, Scenario, SeededRng, Traffic};

/// Distinguishes the clients' seed from the scenario's.
const CLIENT_SEED: u64 = 0x636c_6965_6e74;
/// Range of the pause before a client submits again, in seconds.
const RETRY_PAUSE_S: Range<f64> = 0.33..1.2;
/// Range of the body's length, in bytes.
const BODY_LEN: Range<u64> = 50..800;

/// A tenant and its share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: &'static str,
    /// Share of the messages, from 0 to 1.
    pub share: f64,
}

/// All tenants; the shares add up to 1.
pub const TENANTS: [Tenant; 5] = [
    Tenant { name: "tenant-a", share: 0.45 },
    Tenant { name: "tenant-b", share: 0.19 },
    Tenant { name: "tenant-c", share: 0.15 },
    Tenant { name: "tenant-d", share: 0.11 },
    Tenant { name: "tenant-e", share: 0.10 },
];

/// A class of messages as clients submit them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageClass {
    /// Name of the class.
    pub name: &'static str,
    /// Time in which a message may be delivered.
    pub lifetime: Duration,
}

/// The class of messages with idempotency keys.
pub const KEYED: MessageClass = MessageClass { name: "keyed", lifetime: Duration::from_millis(28_000) };
/// The class of idempotent messages.
pub const SAFE: MessageClass = MessageClass { name: "safe", lifetime: Duration::from_millis(20_000) };

/// A message that a client will submit.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When, after the start.
    pub at: Duration,
    /// Id of its first submission.
    pub message_id: String,
    /// Its class.
    pub class: &'static str,
    /// Its tenant.
    pub tenant: &'static str,
    /// Number of its receiver.
    pub receiver: u16,
    /// Index of the sender that it is submitted to first.
    pub sender: usize,
    /// Time in which it may be delivered.
    pub lifetime: Duration,
    /// Pause before its client submits again after a rejection, if it does.
    pub retry_pause: Option<Duration>,
    /// Whether its client disconnects before the response.
    pub disconnects: bool,
    /// Length of its body, in bytes.
    pub body_len: usize,
}

/// Draws all messages of a scenario: the same for the same scenario. `max_lifetime` bounds how long a message may take
/// to be delivered, and so the length of a test.
pub fn plan(scenario: &Scenario, max_lifetime: Duration) -> Vec<PlannedMessage> {
    let mut planner = Planner {
        rng: SeededRng::new(scenario.seed ^ CLIENT_SEED),
        scenario,
        max_lifetime,
        total_weight: scenario.receivers.iter().map(|receiver| receiver.weight).sum(),
        planned: Vec::new(),
    };
    planner.draw_all();
    planner.planned
}

struct Planner<'a> {
    rng: SeededRng,
    scenario: &'a Scenario,
    max_lifetime: Duration,
    total_weight: f64,
    planned: Vec<PlannedMessage>,
}

/// What the messages of one arrival have in common.
#[derive(Clone, Copy)]
struct Arrival {
    at_s: f64,
    receiver: u16,
    sender: usize,
}

impl Planner<'_> {
    fn draw_all(&mut self) {
        let traffic = &self.scenario.traffic;
        let burst_len = traffic.burst_len.max(1);
        let burst_share = traffic.burst_share.get();
        // An arrival with a burst has several messages, so that there are fewer arrivals for the same rate.
        let per_arrival = messages_per_arrival(traffic);
        let mut at_s = 0.0;
        loop {
            at_s += self.rng.exponential(per_arrival / traffic.per_s.get());
            if at_s >= f64::from(self.scenario.seconds) {
                return;
            }
            let receiver = self.draw_receiver();
            let is_burst = self.rng.chance(burst_share / f64::from(burst_len));
            let sender = self.rng.integer(0, self.scenario.senders as u64) as usize;
            for _ in 0..if is_burst { burst_len } else { 1 } {
                let message = self.draw_message(Arrival { at_s, receiver, sender });
                self.planned.push(message);
            }
        }
    }

    /// Draws a receiver by the receivers' weights.
    fn draw_receiver(&mut self) -> u16 {
        let mut position = self.rng.unit() * self.total_weight;
        let receivers = &self.scenario.receivers;
        let drawn = receivers.iter().find(|receiver: &&ReceiverPlan| {
            position -= receiver.weight;
            position < 0.0
        });
        drawn.or(receivers.last()).map_or(0, |receiver| receiver.number)
    }

    /// Draws a tenant by the tenants' shares.
    fn draw_tenant(&mut self) -> &'static str {
        let mut position = self.rng.unit();
        let drawn = TENANTS.iter().find(|tenant| {
            position -= tenant.share;
            position < 0.0
        });
        drawn.unwrap_or(&TENANTS[0]).name
    }

    fn draw_message(&mut self, arrival: Arrival) -> PlannedMessage {
        let traffic = &self.scenario.traffic;
        let number = self.planned.len() as u32;
        let tenant = self.draw_tenant();
        let is_idempotent = self.rng.chance(traffic.idempotent_share.get());
        let class = if is_idempotent { SAFE } else { KEYED };
        let retries = self.rng.chance(traffic.retry_share.get());
        let retry_pause = retries
            .then(|| Duration::from_secs_f64(self.rng.between(RETRY_PAUSE_S.start, RETRY_PAUSE_S.end)));
        PlannedMessage {
            at: Duration::from_secs_f64(arrival.at_s),
            message_id: format!("{:08x}{number:08x}", self.scenario.seed as u32),
            class: class.name,
            tenant,
            receiver: arrival.receiver,
            sender: arrival.sender,
            lifetime: class.lifetime.min(self.max_lifetime),
            retry_pause,
            disconnects: self.rng.chance(traffic.abandon_share.get()),
            body_len: self.rng.integer(BODY_LEN.start, BODY_LEN.end) as usize,
        }
    }
}

/// Mean number of messages per arrival.
fn messages_per_arrival(traffic: &Traffic) -> f64 {
    let burst_len = f64::from(traffic.burst_len.max(1));
    1.0 + traffic.burst_share.get() / burst_len.max(1.0) * (burst_len - 1.0)
}
