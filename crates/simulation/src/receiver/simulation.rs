//! Runs a scenario tick by tick.

use rudderspindle_policy::interface::{Action, AttemptResult, Event, Millis, Outcome, RouteId};

use super::gossip_network::SimulatedNetwork;
use super::observations::Observations;
use super::open_messages::{OpenMessage, message};
use super::recovery_load::{RecoveryCall, RecoveryWindow};
use super::scenario::{AddedRoutes, LoadPeak, Restart, Scenario};
use super::settings::DEADLINE;
use super::simulated_receiver::{Call, SimulatedReceiver};
use super::simulated_sender::{SimulatedSender, StoredOutage, WakeUp};
use super::{RECOVERY_DURATION, TICK, list_event};
use crate::SeededRng;
use crate::fixtures::outcome;

/// Time from the last submission to the end of a scenario, ms.
const QUIET_END: Millis = 4_000.0;
/// Share of the messages that are of class 1.
const CLASS_1_SHARE: f64 = 0.44;
/// Distinguishes the network's draws from those of the load and the receiver.
const NETWORK_SEED: u64 = 0x9057;

/// An outcome that its sender has not received yet.
struct PendingOutcome {
    at: Millis,
    sender: usize,
    /// Number of the sender's restarts when it made the call; after another one it does not get the outcome.
    restarts: u64,
    event: Event,
    delivers: bool,
    /// Whether the call failed in the outage.
    failed_in_outage: bool,
}

/// The state of a simulation.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Millis,
    rng: SeededRng,
    senders: Vec<SimulatedSender>,
    network: SimulatedNetwork,
    pending: Vec<PendingOutcome>,
    receiver: SimulatedReceiver,
    recovery_window: RecoveryWindow,
    next_id: u32,
    next_message_at: Millis,
    /// The scenario's restart until it is over.
    restart: Option<Restart>,
    /// The scenario's added routes until they are listed.
    added_routes: Option<AddedRoutes>,
    observations: Observations,
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Observations {
    let mut simulation = Simulation::new(scenario);
    while simulation.now < scenario.duration {
        simulation.step();
    }
    simulation.observations
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            now: 0.0,
            rng: SeededRng::new(scenario.seed),
            senders: (0..scenario.senders)
                .map(|index| SimulatedSender::new(scenario, index, 0, 0.0))
                .collect(),
            network: SimulatedNetwork::new(scenario.seed ^ NETWORK_SEED),
            pending: Vec::new(),
            receiver: SimulatedReceiver::default(),
            recovery_window: RecoveryWindow::default(),
            next_id: 0,
            next_message_at: 0.0,
            restart: scenario.restart.clone(),
            added_routes: scenario.added_routes,
            observations: Observations::default(),
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.kill_and_restart();
        self.add_routes();
        self.submit_messages();
        if let Some(network) = &self.scenario.gossip_network {
            self.observations.gossip_bytes += self.network.step(network, self.now, &mut self.senders);
        }
        self.deliver_outcomes();
        for sender in 0..self.senders.len() {
            self.decide(sender);
        }
    }

    fn kill_and_restart(&mut self) {
        let now = self.now;
        if let Some(restart) = self.restart.as_ref().filter(|restart| restart.killed_at <= now) {
            for sender in &mut self.senders[restart.senders.clone()] {
                sender.is_running = false;
            }
        }
        if let Some(restart) = self.restart.take_if(|restart| restart.killed_at + restart.downtime <= now) {
            for index in restart.senders {
                self.senders[index] = self.senders[index].restarted(self.scenario, index, now);
            }
        }
    }

    fn add_routes(&mut self) {
        if let Some(added) = self.added_routes.take_if(|added| added.at <= self.now) {
            let list = list_event(self.scenario, self.scenario.routes + added.count);
            for sender in &mut self.senders {
                sender.events.push(list.clone());
            }
        }
    }

    fn submit_messages(&mut self) {
        let scenario = self.scenario;
        while self.next_message_at <= self.now && self.now < scenario.duration - QUIET_END {
            let LoadPeak { factor, period } = &scenario.load_peak;
            let factor = if period.contains(&self.now) { *factor } else { 1.0 };
            let rate = factor * scenario.load * scenario.announced_rate;
            self.next_message_at += self.rng.exponential(1_000.0 / rate);
            let drawn = (self.rng.unit() * scenario.busy_senders as f64) as usize;
            let to = if self.senders[drawn].is_running { drawn } else { (drawn + 1) % scenario.senders };
            let class = usize::from(self.rng.unit() < CLASS_1_SHARE);
            self.submit(to, class);
        }
    }

    fn submit(&mut self, to: usize, class: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let sender = &mut self.senders[to];
        sender.events.push(Event::Message(message(id, class, DEADLINE)));
        sender.open.insert(id, OpenMessage { class, submitted_at: self.now, attempts: 0 });
        self.observations.count_submission(class);
    }

    fn deliver_outcomes(&mut self) {
        let now = self.now;
        self.pending.sort_by(|a, b| a.at.total_cmp(&b.at));
        let due = self.pending.partition_point(|pending| pending.at <= now);
        for pending in self.pending.drain(..due) {
            let sender = &mut self.senders[pending.sender];
            sender.saw_failure |= pending.failed_in_outage;
            if sender.restarts != pending.restarts || !sender.is_running {
                continue;
            }
            if pending.delivers
                && let Event::Outcome(AttemptResult { id, .. }) = &pending.event
                && let Some(open) = sender.open.remove(&id.0)
            {
                self.observations.count_delivery(self.scenario, open.class, now, open.submitted_at);
            }
            sender.events.push(pending.event);
        }
    }

    /// Passes a sender's events to its policy and performs the policy's actions.
    fn decide(&mut self, index: usize) {
        let now = self.now;
        let sender = &mut self.senders[index];
        if !sender.is_running {
            return;
        }
        if let Some(wake_up) = sender.wake_up.take_if(|wake_up| wake_up.at <= now) {
            sender.events.push(Event::Wake(wake_up.token));
        }
        if sender.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut sender.events);
        let mut actions = Vec::new();
        sender.policy.handle(now, &events, &mut actions);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        let sender = &mut self.senders[index];
        match action {
            Action::Wake { delay, token } => sender.wake_up = Some(WakeUp { at: now + delay, token }),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                sender.open.remove(&id.0);
            }
            Action::Send { id, route, timeout, .. } => self.call(index, id.0, route, timeout),
            Action::PersistOutage { scope, outage } => {
                sender.remembered.insert(scope.route, StoredOutage { at: now, outage });
            }
            Action::Cancel { .. } | Action::HealthCheck { .. } | Action::Subscribe => {}
        }
    }

    fn call(&mut self, index: usize, id: u32, route: RouteId, timeout: Millis) {
        let sender = &mut self.senders[index];
        let restarts = sender.restarts;
        let Some(open) = sender.open.get_mut(&id) else { panic!("message {id} has its final outcome") };
        let attempt = open.attempts;
        open.attempts += 1;
        let in_outage = self.scenario.is_in_outage(route.0 - 1, self.now);
        self.count_call(index, route);
        let call = Call { now: self.now, timeout, in_outage };
        let response = self.receiver.answer(self.scenario, call, &mut self.rng);
        self.observations.rejected += usize::from(response.over_limit);
        self.pending.push(PendingOutcome {
            at: self.now + response.after,
            sender: index,
            restarts,
            event: outcome(id, attempt, response.outcome, response.retry_after),
            delivers: response.outcome == Outcome::Ok,
            failed_in_outage: in_outage && response.outcome != Outcome::Ok,
        });
    }

    fn count_call(&mut self, index: usize, route: RouteId) {
        let Scenario { outage_end, announced_rate, .. } = *self.scenario;
        self.observations.call_starts.push(self.now);
        if (outage_end..outage_end + RECOVERY_DURATION).contains(&self.now) {
            let knowledge = self.senders[index].knowledge(route);
            let call = RecoveryCall { since_recovery: self.now - outage_end, knowledge };
            let load = self.recovery_window.add(call, announced_rate);
            self.observations.count_recovery_load(&load);
        }
    }
}
