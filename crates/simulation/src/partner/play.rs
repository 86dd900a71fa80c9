//! Runs a scene tick by tick.

use std::collections::VecDeque;
use std::ops::Range;

use rudderspindle_policy::interface::{Action, AttemptResult, Event, Millis, Outcome, RouteId};

use super::draw::Draw;
use super::network::Network;
use super::open_messages::{OpenMessage, message};
use super::receiver::{Call, Receiver};
use super::scene::Scene;
use super::seen::{RecoveryCall, Seen};
use super::sender::{RememberedOutage, SimulatedSender, WakeUp};
use super::settings::DEADLINE;
use super::{RECOVERY_DURATION, TICK, list_event};
use crate::parts::outcome;

/// How long before a scene's end the last message is submitted, ms.
const QUIET_END: Millis = 4_000.0;
/// Share of the messages that are of class 1.
const CLASS_1_SHARE: f64 = 0.44;
/// Distinguishes the network's draws from those of the load and the receiver.
const NETWORK_SEED: u64 = 0x9057;

/// An outcome that its sender does not know yet.
struct PendingOutcome {
    at: Millis,
    sender: usize,
    /// Restarts of the sender when it made the call: after another one it does not get the outcome.
    restarts: u64,
    event: Event,
    delivers: bool,
    /// Whether the call failed in the outage.
    failed_in_outage: bool,
}

/// A scene at one moment.
struct Simulation<'a> {
    scene: &'a Scene,
    now: Millis,
    rng: Draw,
    senders: Vec<SimulatedSender>,
    network: Network,
    pending: Vec<PendingOutcome>,
    receiver: Receiver,
    /// Calls of the recovery ramp within the overload duration.
    recent: VecDeque<RecoveryCall>,
    next_id: u32,
    next_message_at: Millis,
    /// The scene's restart until it is over.
    restart: Option<(Range<usize>, Millis)>,
    /// The scene's added routes until they are listed.
    added: Option<(u64, Millis)>,
    seen: Seen,
}

/// Runs a scene to its end.
pub fn play(scene: &Scene) -> Seen {
    let mut simulation = Simulation::new(scene);
    while simulation.now < scene.ends {
        simulation.step();
    }
    simulation.seen
}

impl<'a> Simulation<'a> {
    fn new(scene: &'a Scene) -> Self {
        Self {
            scene,
            now: 0.0,
            rng: Draw::new(scene.seed),
            senders: (0..scene.senders).map(|index| SimulatedSender::new(scene, index, 0, 0.0)).collect(),
            network: Network::new(scene.seed ^ NETWORK_SEED),
            pending: Vec::new(),
            receiver: Receiver::default(),
            recent: VecDeque::new(),
            next_id: 0,
            next_message_at: 0.0,
            restart: scene.restart.clone(),
            added: scene.added,
            seen: Seen::default(),
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.kill_and_restart();
        self.add_routes();
        self.submit_messages();
        if let Some(notes) = &self.scene.notes {
            self.seen.note_bytes += self.network.step(notes, self.now, &mut self.senders);
        }
        self.deliver_outcomes();
        for sender in 0..self.senders.len() {
            self.decide(sender);
        }
    }

    fn kill_and_restart(&mut self) {
        let now = self.now;
        if let Some((killed, at)) = &self.restart
            && *at <= now
        {
            for sender in &mut self.senders[killed.clone()] {
                sender.up = false;
            }
        }
        if let Some((restarted, _)) = self.restart.take_if(|(_, at)| *at + self.scene.gone <= now) {
            for index in restarted {
                self.senders[index] = self.senders[index].restarted(self.scene, index, now);
            }
        }
    }

    fn add_routes(&mut self) {
        if let Some((added, _)) = self.added.take_if(|(_, at)| *at <= self.now) {
            let list = list_event(self.scene, self.scene.routes + added);
            for sender in &mut self.senders {
                sender.events.push(list.clone());
            }
        }
    }

    fn submit_messages(&mut self) {
        let scene = self.scene;
        while self.next_message_at <= self.now && self.now < scene.ends - QUIET_END {
            let (factor, swell) = &scene.swell;
            let factor = if swell.contains(&self.now) { *factor } else { 1.0 };
            self.next_message_at += self.rng.exponential(1_000.0 / (factor * scene.load * scene.told));
            let drawn = (self.rng.unit() * scene.busy as f64) as usize;
            let to = if self.senders[drawn].up { drawn } else { (drawn + 1) % scene.senders };
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
        self.seen.count_submission(class);
    }

    fn deliver_outcomes(&mut self) {
        let now = self.now;
        self.pending.sort_by(|a, b| a.at.total_cmp(&b.at));
        let due = self.pending.partition_point(|pending| pending.at <= now);
        for pending in self.pending.drain(..due) {
            let sender = &mut self.senders[pending.sender];
            sender.saw_failure |= pending.failed_in_outage;
            if sender.restarts != pending.restarts || !sender.up {
                continue;
            }
            if pending.delivers
                && let Event::Outcome(AttemptResult { id, .. }) = &pending.event
                && let Some(open) = sender.open.remove(&id.0)
            {
                self.seen.count_delivery(self.scene, open.class, now, open.submitted_at);
            }
            sender.events.push(pending.event);
        }
    }

    /// Lets a sender's policy act if there is anything for it to act on.
    fn decide(&mut self, index: usize) {
        let now = self.now;
        let sender = &mut self.senders[index];
        if !sender.up {
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
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        let now = self.now;
        let sender = &mut self.senders[index];
        match action {
            Action::Wake { delay, token } => sender.wake_up = Some(WakeUp { at: now + delay, token }),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                sender.open.remove(&id.0);
            }
            Action::Send { id, route, timeout, .. } => self.call(index, id.0, route, timeout),
            Action::Remember { scope, outage } => {
                sender.remembered.insert(scope.route, RememberedOutage { at: now, outage });
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
        let in_outage = self.is_in_outage(route);
        self.count_call(index, route, in_outage);
        let call = Call { now: self.now, timeout, in_outage };
        let answer = self.receiver.answer(self.scene, call, &mut self.rng);
        self.seen.refused += usize::from(answer.over_limit);
        self.pending.push(PendingOutcome {
            at: self.now + answer.after,
            sender: index,
            restarts,
            event: outcome(id, attempt, answer.outcome, answer.retry_after),
            delivers: answer.outcome == Outcome::Ok,
            failed_in_outage: in_outage && answer.outcome != Outcome::Ok,
        });
    }

    fn is_in_outage(&self, route: RouteId) -> bool {
        let Scene { from, until, struck, .. } = self.scene;
        (*from..*until).contains(&self.now) && struck.contains(&(route.0 - 1))
    }

    fn count_call(&mut self, index: usize, route: RouteId, in_outage: bool) {
        let Scene { until, told, .. } = *self.scene;
        self.seen.starts.push(self.now);
        self.seen.trials += usize::from(in_outage);
        if self.now >= until && self.now < until + RECOVERY_DURATION {
            let call = RecoveryCall {
                since_return: self.now - until,
                sender: index,
                route: route.0,
                knowledge: self.senders[index].knowledge(route),
            };
            self.seen.count_recovery_call(&mut self.recent, call, told);
        }
    }
}
