//! Plays a scene.

use std::collections::{BTreeMap, VecDeque};

use rudderspindle_gossip::{DemandExchange, Incarnation, PermitLedger, RecoveryRamp};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::*;

use super::client::Client;
use super::limit::Counter;
use super::post::{DatagramBudget, wall};
use super::scene::Bound;
use super::seen::Knows;
use super::{DEADLINE, Draw, LATE_VALUE, LATENCY_OBJECTIVE, RECOVERY_DURATION, Scene, Seen, TICK, VALUE};
use super::{aged, config, handed_in, listed};
use crate::parts::outcome;

/// An outcome on its way.
struct Due {
    at: Millis,
    client: usize,
    starts: u64,
    event: Event,
    delivers: bool,
    /// Whether it came to nothing in the outage.
    struck: bool,
}

/// A scene as it stands.
struct Play<'a> {
    scene: &'a Scene,
    now: Millis,
    draw: Draw,
    clients: Vec<Client>,
    post: DatagramBudget,
    due: Vec<Due>,
    counter: Counter,
    /// Calls of the fall time.
    recent: VecDeque<(Millis, Knows)>,
    next_id: u32,
    next_message: Millis,
    restart: Option<(std::ops::Range<usize>, Millis)>,
    added: Option<(u64, Millis)>,
    seen: Seen,
}

/// Plays a scene to its end.
pub fn play(scene: &Scene) -> Seen {
    let mut play = Play {
        scene,
        now: 0.0,
        draw: Draw::new(scene.seed),
        clients: (0..scene.senders).map(|n| fresh(scene, n, 0, 0.0)).collect(),
        post: DatagramBudget::new(scene.seed ^ 0x9057),
        due: Vec::new(),
        counter: Counter::default(),
        recent: VecDeque::new(),
        next_id: 0,
        next_message: 0.0,
        restart: scene.restart.clone(),
        added: scene.added,
        seen: Seen::default(),
    };
    while play.now < scene.ends {
        play.now += TICK;
        play.change();
        play.hand_in();
        if let Some(notes) = &scene.notes {
            play.post.pass(notes, play.now, &mut play.clients, &mut play.seen);
        }
        play.bring_outcomes();
        play.decide();
    }
    play.seen
}

fn fresh(scene: &Scene, n: usize, starts: u64, now: Millis) -> Client {
    let seed = scene.seed * 64 + n as u64 * 8 + starts;
    let settings = config(scene);
    let (start, later) = (settings.ramp(0.0), settings.ramp(1_000.0));
    let mut sender = Policy::new(settings, seed).expect("settings that work");
    if scene.notes.is_some() {
        sender.expect_capacity_reports();
    }
    let strict = scene.notes.is_some() && scene.bound == Bound::Strict;
    if strict {
        sender.require_permits();
    }
    let ahead = (scene.clocks as f64 * Draw::new(scene.seed ^ (0xc10c + n as u64)).unit()).round() as u64;
    let permits = || PermitLedger::new(n, scene.senders, Incarnation(starts + 1), wall(now, ahead));
    Client {
        sender,
        fleet: DemandExchange::new(
            n,
            scene.senders,
            RecoveryRamp { initial_fraction: start, growth_per_s: later - start },
        ),
        permits: strict.then(permits),
        takes: BTreeMap::new(),
        ahead,
        up: true,
        events: vec![listed(scene, 0..scene.routes)],
        wake: None,
        open: BTreeMap::new(),
        memories: BTreeMap::new(),
        starts,
        told: false,
    }
}

impl Play<'_> {
    /// A sender ends or begins anew, or the list grows.
    fn change(&mut self) {
        let now = self.now;
        if let Some((ending, _)) = self.restart.as_ref().filter(|r| r.1 <= now) {
            self.clients[ending.clone()].iter_mut().for_each(|client| client.up = false);
        }
        let back = self.restart.take_if(|r| r.1 + self.scene.gone <= now);
        for who in back.into_iter().flat_map(|(who, _)| who) {
            let (open, memories) = (self.clients[who].open.clone(), self.clients[who].memories.clone());
            let mut client = fresh(self.scene, who, self.clients[who].starts + 1, now);
            for (&route, &(at, outage)) in &memories {
                let (outage, destination) = (aged(outage, now - at), DestinationId(0));
                client.events.push(Event::Remembered { destination, route, outage });
            }
            (client.memories, client.told) = (memories, self.clients[who].told);
            for (id, (class, at, attempts)) in open {
                let left = DEADLINE - (now - at);
                let past = AttemptHistory { attempts, possibly_executed: None };
                if left > 0.0 {
                    client.events.push(Event::Recovered(handed_in(id, class, left), past));
                    client.open.insert(id, (class, at, attempts));
                }
            }
            self.clients[who] = client;
        }
        if let Some((routes, _)) = self.added.take_if(|a| a.1 <= now) {
            let more = listed(self.scene, 0..self.scene.routes + routes);
            self.clients.iter_mut().for_each(|c| c.events.push(more.clone()));
        }
    }

    fn hand_in(&mut self) {
        let (scene, now) = (self.scene, self.now);
        while self.next_message <= now && now < scene.ends - 4_000.0 {
            let times = if scene.swell.1.contains(&now) { scene.swell.0 } else { 1.0 };
            self.next_message += self.draw.exponential(1_000.0 / (times * scene.load * scene.told));
            let to = (self.draw.unit() * scene.busy as f64) as usize;
            let to = if self.clients[to].up { to } else { (to + 1) % scene.senders };
            let class = usize::from(self.draw.unit() < 0.44);
            let id = self.next_id;
            self.clients[to].events.push(Event::Message(handed_in(id, class, DEADLINE)));
            self.clients[to].open.insert(id, (class, now, 0));
            (self.next_id, self.seen.asked) = (id + 1, self.seen.asked + 1);
            self.seen.offered[class] += VALUE[class];
        }
    }

    fn bring_outcomes(&mut self) {
        let now = self.now;
        self.due.sort_by(|a, b| a.at.total_cmp(&b.at));
        let later = self.due.partition_point(|d| d.at <= now);
        for d in self.due.drain(..later) {
            let client = &mut self.clients[d.client];
            client.told |= d.struck;
            if client.starts != d.starts || !client.up {
                continue;
            }
            if let (true, Event::Outcome { id, .. }) = (d.delivers, &d.event)
                && let Some((class, at, _)) = client.open.remove(&id.0)
            {
                self.seen.delivered += 1;
                let warming = self.scene.until..self.scene.until + RECOVERY_DURATION;
                self.seen.served += usize::from(warming.contains(&now));
                self.seen.in_time += usize::from(now - at <= LATENCY_OBJECTIVE[class]);
                let late = ((now - at - LATENCY_OBJECTIVE[class]) / (DEADLINE - LATENCY_OBJECTIVE[class]))
                    .clamp(0.0, 1.0);
                self.seen.earned[class] += VALUE[class] * (1.0 - late * (1.0 - LATE_VALUE));
            }
            client.events.push(d.event);
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        for n in 0..self.clients.len() {
            let client = &mut self.clients[n];
            if !client.up {
                continue;
            }
            if let Some((_, token)) = client.wake.take_if(|w| w.0 <= now) {
                client.events.push(Event::Wake(token));
            }
            if client.events.is_empty() {
                continue;
            }
            let mut actions = Vec::new();
            client.sender.handle(now, &std::mem::take(&mut client.events), &mut actions);
            for action in actions {
                self.carry_out(n, action);
            }
        }
    }

    fn carry_out(&mut self, n: usize, action: Action) {
        let (now, scene, client) = (self.now, self.scene, &mut self.clients[n]);
        match action {
            Action::Wake { delay, token } => client.wake = Some((now + delay, token)),
            Action::Refuse { id, .. } | Action::Fail { id } => drop(client.open.remove(&id.0)),
            Action::Send { id, route, timeout, .. } => {
                let Some(entry) = client.open.get_mut(&id.0) else { panic!("{id:?} was over") };
                let attempt = entry.2;
                entry.2 += 1;
                let starts = client.starts;
                let on = (scene.from..scene.until).contains(&now) && scene.struck.contains(&(route.0 - 1));
                self.seen.starts.push(now);
                self.seen.trials += usize::from(on);
                if now >= scene.until && now < scene.until + RECOVERY_DURATION {
                    let call = (now - scene.until, client.knows(route));
                    self.seen.push(&mut self.recent, call, scene.told);
                    self.seen.came.push((now - scene.until, n, route.0));
                }
                let (after, what, wait) =
                    self.counter.answer(scene, now, on, timeout, &mut self.draw, &mut self.seen);
                let event = outcome(id.0, attempt, what, wait);
                self.due.push(Due {
                    at: now + after,
                    client: n,
                    starts,
                    event,
                    delivers: what == Outcome::Ok,
                    struck: on && what != Outcome::Ok,
                });
            }
            Action::Remember { route, outage, .. } => drop(client.memories.insert(route, (now, outage))),
            Action::Cancel { .. } | Action::HealthCheck { .. } | Action::Subscribe => {}
        }
    }
}
