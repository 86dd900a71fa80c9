//! Generates scenarios at random from a seed.
//!
//! The order in which random numbers are drawn must not change, so that a seed generates the same scenario in all
//! versions.

use super::rng::SeededRng;
use super::units::{Ms, PerSecond};
use super::{
    DiscoveryFault, EndpointPlan, Limit, LinkFault, Outage, Phase, ReceiverPlan, RetryAfterPolicy, Scenario,
    ScheduledEvent, Traffic,
};

/// Number of senders in a generated scenario.
const SENDERS: usize = 2;
/// Names of the zones in scenarios and in the senders' configurations.
const ZONES: [&str; 2] = ["hall-a", "hall-b"];

/// Generates a scenario with faults, in which clients submit messages for `seconds`.
pub(super) fn scenario(seed: u64, seconds: u16) -> Scenario {
    Generator { rng: SeededRng::new(seed), end_ms: u64::from(seconds) * 1_000 }.scenario(seed, seconds)
}

struct Generator {
    rng: SeededRng,
    /// Time at which clients stop submitting, in milliseconds after the start.
    end_ms: u64,
}

impl Generator {
    fn scenario(&mut self, seed: u64, seconds: u16) -> Scenario {
        let count = self.rng.integer(4, 7) as u16;
        let receivers: Vec<ReceiverPlan> = (0..count).map(|index| self.receiver(index)).collect();
        let limits: f64 = receivers.iter().map(total_rate).sum();
        // The total stays below the sum of the receivers' limits, but the busiest receiver gets about as much as its limit.
        let per_s = PerSecond(limits * self.rng.between(0.45, 0.7));
        let mut events = Vec::new();
        self.outages(&receivers, &mut events);
        self.restarts(&mut events);
        self.list_changes(&receivers, &mut events);
        let mut scenario = Scenario {
            seed,
            seconds,
            senders: SENDERS,
            list_delay_ms: self.rng.ms(50, 400),
            traffic: self.traffic(per_s),
            receivers,
            events,
        };
        // These faults were added in later versions. They are generated last, so that a seed generates the same values
        // as before for everything else.
        self.discovery_faults(&mut scenario.events);
        self.link_faults(&scenario.receivers, &mut scenario.events);
        self.upgrade(&mut scenario.events);
        scenario
    }

    fn traffic(&mut self, per_s: PerSecond) -> Traffic {
        Traffic {
            per_s,
            idempotent_share: self.rng.share(0.35, 0.53),
            burst_share: self.rng.share(0.09, 0.16),
            burst_len: self.rng.integer(4, 14) as u16,
            retry_share: self.rng.share(0.0, 1.0),
            abandon_share: self.rng.share(0.0, 0.03),
            malformed_per_s: self.rng.between(0.0, 3.0),
        }
    }

    fn receiver(&mut self, index: u16) -> ReceiverPlan {
        let endpoints = (0..self.rng.integer(1, 5)).map(|endpoint| self.endpoint(index, endpoint)).collect();
        let independent = self.rng.chance(0.33);
        let limit = if independent && self.rng.chance(0.5) {
            Limit::Rate
        } else {
            Limit::Window { window_ms: Ms(if independent { 2_000 } else { 1_000 }) }
        };
        ReceiverPlan {
            number: index + 1,
            name: format!("partner-{}", index + 1),
            endpoints,
            independent,
            per_s: PerSecond(self.rng.between(6.0, 24.0)),
            limit,
            counts_rejected: !independent,
            retry_after: RetryAfterPolicy {
                share: self.rng.share(0.0, 1.0),
                wait_ms: if self.rng.chance(0.5) { Some(self.rng.ms(230, 990)) } else { None },
            },
            service_time_ms: self.rng.ms(60, 300),
            max_queued: self.rng.integer(2, 9) as u16,
            max_connections: self.rng.integer(16, 64) as u16,
            weight: self.rng.between(0.3, 1.0),
        }
    }

    fn endpoint(&mut self, receiver: u16, endpoint: u64) -> EndpointPlan {
        let zone = ZONES[self.rng.integer(0, 2) as usize].to_owned();
        EndpointPlan { id: format!("p{receiver}-{endpoint}"), zone }
    }

    fn outages(&mut self, receivers: &[ReceiverPlan], events: &mut Vec<ScheduledEvent>) {
        for receiver in receivers {
            if self.rng.chance(0.6) {
                events.push(self.outage(receiver));
            }
        }
    }

    fn outage(&mut self, receiver: &ReceiverPlan) -> ScheduledEvent {
        let outage = match self.rng.integer(0, 6) {
            0 => Outage::RefuseConnections,
            1 => Outage::RejectAll,
            2 => Outage::Errors { share: self.rng.share(0.6, 0.96) },
            3 => Outage::Stall { stop_ms: self.rng.ms(200, 500), every_ms: self.rng.ms(1_200, 2_800) },
            4 => Outage::Unresponsive,
            _ => Outage::Unreachable,
        };
        let at_ms = self.rng.ms(self.end_ms / 10, self.end_ms / 2);
        // Typical durations of outages in production, for which the senders' health checks are configured.
        let duration_ms = self.rng.ms(7_600, 14_000);
        let is_partial = receiver.endpoints.len() > 1 && self.rng.chance(0.2);
        let endpoints = if is_partial { vec![receiver.endpoints[0].id.clone()] } else { Vec::new() };
        ScheduledEvent::Outage { at_ms, duration_ms, receiver: receiver.number, endpoints, outage }
    }

    fn restarts(&mut self, events: &mut Vec<ScheduledEvent>) {
        for sender in 0..SENDERS {
            let at_ms = self.any_time();
            let restart_after_ms = self.rng.ms(200, 900);
            events.push(if sender == 0 || self.rng.chance(0.5) {
                ScheduledEvent::Kill { at_ms, sender, restart_after_ms }
            } else {
                ScheduledEvent::Restart { at_ms, sender, restart_after_ms }
            });
        }
    }

    fn list_changes(&mut self, receivers: &[ReceiverPlan], events: &mut Vec<ScheduledEvent>) {
        if self.rng.chance(0.7) {
            let receiver = &receivers[self.rng.integer(0, receivers.len() as u64) as usize];
            if receiver.endpoints.len() > 1 {
                self.drain(receiver.endpoints[0].id.clone(), events);
            }
        }
        if self.rng.chance(0.5) {
            let at_ms = self.rng.ms(self.end_ms / 6, self.end_ms / 2);
            let duration_ms = self.rng.ms(self.end_ms / 5, self.end_ms / 2);
            let delay_ms = self.rng.ms(500, 3_000);
            events.push(ScheduledEvent::ListDelay { at_ms, duration_ms, delay_ms });
        }
    }

    fn drain(&mut self, endpoint: String, events: &mut Vec<ScheduledEvent>) {
        let drained_at = self.rng.ms(self.end_ms / 5, self.end_ms / 2);
        let deleted_at = Ms(drained_at.0 + self.rng.integer(3_000, 6_000));
        let phases = [(drained_at, Phase::Draining), (deleted_at, Phase::Deleted)];
        events.extend(phases.map(|(at_ms, phase)| ScheduledEvent::PhaseChange {
            at_ms,
            endpoint: endpoint.clone(),
            phase,
        }));
    }

    fn discovery_faults(&mut self, events: &mut Vec<ScheduledEvent>) {
        if self.rng.chance(0.5) {
            let fault = match self.rng.integer(0, 3) {
                0 => DiscoveryFault::Silent,
                1 => DiscoveryFault::RejectsNotifications,
                _ => DiscoveryFault::IgnoresNotifications,
            };
            let at_ms = self.any_time();
            let duration_ms = self.rng.ms(1_000, 5_000);
            let sender = self.any_sender();
            events.push(ScheduledEvent::DiscoveryFault { at_ms, duration_ms, sender, fault });
        }
        if self.rng.chance(0.3) {
            let at_ms = self.any_time();
            let sender = self.any_sender();
            events.push(ScheduledEvent::MoveDiscovery { at_ms, sender });
        }
    }

    fn link_faults(&mut self, receivers: &[ReceiverPlan], events: &mut Vec<ScheduledEvent>) {
        if !self.rng.chance(0.6) {
            return;
        }
        let fault = match self.rng.integer(0, 7) {
            0 => LinkFault::Delay { ms: self.rng.ms(5, 120) },
            1 => LinkFault::LoseResponses,
            2 => LinkFault::BlackHole,
            3 => LinkFault::CutAfter { bytes: self.rng.integer(1, 2_000) as u32 },
            4 => LinkFault::HalfCloseAfter { bytes: self.rng.integer(1, 2_000) as u32 },
            5 => LinkFault::Trickle { pause_ms: self.rng.ms(1, 3) },
            _ => LinkFault::Reset,
        };
        let at_ms = self.any_time();
        let duration_ms = self.rng.ms(1_000, 8_000);
        let sender = self.any_sender();
        let receiver = receivers[self.rng.integer(0, receivers.len() as u64) as usize].number;
        events.push(ScheduledEvent::LinkFault { at_ms, duration_ms, sender, receiver, fault });
    }

    fn upgrade(&mut self, events: &mut Vec<ScheduledEvent>) {
        if self.rng.chance(0.5) {
            let at_ms = self.any_time();
            let sender = self.any_sender();
            events.push(ScheduledEvent::Upgrade { at_ms, sender });
        }
    }

    /// A random time between one sixth and three quarters of the scenario.
    fn any_time(&mut self) -> Ms {
        self.rng.ms(self.end_ms / 6, self.end_ms * 3 / 4)
    }

    fn any_sender(&mut self) -> usize {
        self.rng.integer(0, SENDERS as u64) as usize
    }
}

/// Calls per second that all endpoints of a receiver accept together.
fn total_rate(receiver: &ReceiverPlan) -> f64 {
    receiver.per_s.get() * if receiver.independent { receiver.endpoints.len() as f64 } else { 1.0 }
}
