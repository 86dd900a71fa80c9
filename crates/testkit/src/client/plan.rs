//! Draws the messages that clients submit from a scenario's seed.
//!
//! Invariant: the order of the random draws stays the same, so that a scenario yields the same messages in all versions.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::{ReceiverPlan, Scenario, SeededRng, Traffic};

/// Combined by XOR with the scenario's seed, so that clients use a random sequence of their own.
const CLIENT_SEED: u64 = 0x636c_6965_6e74;
/// Range of the pause before a client submits a rejected message again, in seconds.
const RETRY_PAUSE_S: Range<f64> = 0.33..1.2;
/// Range of the length of a message's body, in bytes.
const BODY_LEN: Range<u64> = 50..800;

/// A tenant and its share of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Value of `X-Org` in the tenant's submissions.
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

/// A message class and the lifetime that clients give to its messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageClass {
    /// Name of the class, which is also the path of a submission.
    pub name: &'static str,
    /// Time from the submission in which a message may be delivered.
    pub lifetime: Duration,
}

/// The class of messages with idempotency keys.
pub const KEYED: MessageClass = MessageClass { name: "keyed", lifetime: Duration::from_millis(28_000) };
/// The class of idempotent messages.
pub const SAFE: MessageClass = MessageClass { name: "safe", lifetime: Duration::from_millis(20_000) };

/// A message that a client will submit.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMessage {
    /// Time of the first submission, after the start of the load.
    pub at: Duration,
    /// Id of the first submission.
    pub message_id: String,
    /// Name of the message class.
    pub class: &'static str,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Number of the receiver that the message is addressed to.
    pub receiver: u16,
    /// Index of the sender that gets the first submission.
    pub sender: usize,
    /// Time from the first submission in which the message may be delivered.
    pub lifetime: Duration,
    /// Pause before the client retries after a rejection; `None` if it does not retry.
    pub retry_pause: Option<Duration>,
    /// Whether the client disconnects before the response.
    pub disconnects: bool,
    /// Length of the body, in bytes.
    pub body_len: usize,
}

/// Draws all messages of a scenario; the same scenario always yields the same messages. `max_lifetime` bounds the
/// lifetime of each message, and so the length of a test.
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

/// Random sequence and result of [`plan`].
struct Planner<'a> {
    rng: SeededRng,
    scenario: &'a Scenario,
    max_lifetime: Duration,
    total_weight: f64,
    planned: Vec<PlannedMessage>,
}

/// Time, receiver and first sender that all messages of one arrival share.
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
        // A burst is one arrival of several messages, so fewer arrivals per second give the same rate of messages.
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
