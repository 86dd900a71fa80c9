//! Draws what clients submit from a scenario's seed.
//!
//! The order of the draws is fixed: a scenario stands for the same messages in all versions.

use std::time::Duration;

use crate::scenario::{ReceiverPlan, Scenario, SeededRng, Traffic};

/// Distinguishes the clients' seed from the scenario's.
const CLIENT_SEED: u64 = 0x636c_6965_6e74;
/// Range of the pause before a client submits again, in seconds.
const RETRY_PAUSE_S: (f64, f64) = (0.33, 1.2);
/// Range of the body's length, in bytes.
const BODY_LEN: (u64, u64) = (50, 800);

/// The tenants, and their shares of the traffic.
pub const TENANTS: [(&str, f64); 5] =
    [("tenant-a", 0.45), ("tenant-b", 0.19), ("tenant-c", 0.15), ("tenant-d", 0.11), ("tenant-e", 0.10)];

/// The class of messages with idempotency keys, and how long they may take to be delivered.
pub const KEYED: (&str, Duration) = ("keyed", Duration::from_millis(28_000));
/// The class of idempotent messages, and how long they may take to be delivered.
pub const SAFE: (&str, Duration) = ("safe", Duration::from_millis(20_000));

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
        let drawn = TENANTS.iter().find(|(_, share)| {
            position -= share;
            position < 0.0
        });
        drawn.unwrap_or(&TENANTS[0]).0
    }

    fn draw_message(&mut self, arrival: Arrival) -> PlannedMessage {
        let traffic = &self.scenario.traffic;
        let number = self.planned.len() as u32;
        let tenant = self.draw_tenant();
        let is_idempotent = self.rng.chance(traffic.idempotent_share.get());
        let (class, lifetime) = if is_idempotent { SAFE } else { KEYED };
        let retries = self.rng.chance(traffic.retry_share.get());
        let retry_pause =
            retries.then(|| Duration::from_secs_f64(self.rng.between(RETRY_PAUSE_S.0, RETRY_PAUSE_S.1)));
        PlannedMessage {
            at: Duration::from_secs_f64(arrival.at_s),
            message_id: format!("{:08x}{number:08x}", self.scenario.seed as u32),
            class,
            tenant,
            receiver: arrival.receiver,
            sender: arrival.sender,
            lifetime: lifetime.min(self.max_lifetime),
            retry_pause,
            disconnects: self.rng.chance(traffic.abandon_share.get()),
            body_len: self.rng.integer(BODY_LEN.0, BODY_LEN.1) as usize,
        }
    }
}

/// Mean number of messages per arrival.
fn messages_per_arrival(traffic: &Traffic) -> f64 {
    let burst_len = f64::from(traffic.burst_len.max(1));
    1.0 + traffic.burst_share.get() / burst_len.max(1.0) * (burst_len - 1.0)
}
