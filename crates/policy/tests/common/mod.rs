//! Settings for tests, and a checker of the rules over a sender's events and actions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::*;
pub use rudderspindle_simulation::parts::{class, entry, list, outcome, settings};

pub fn message(id: u32, class: usize, destination: u16) -> Event {
    keyed_message(id, class, destination, 0)
}

pub fn keyed_message(id: u32, class: usize, destination: u16, ordering_key: u64) -> Event {
    Event::Message(Message {
        id: MessageHandle(id),
        class,
        tenant: 0,
        ordering_key,
        time_left: 10_000.0,
        work_guess: None,
        destination: DestinationId(destination),
    })
}

struct Taken {
    message: Message,
    ends_at: Millis,
    attempts: Vec<Try>,
    ended: bool,
}

struct Try {
    route: RouteId,
    sent_at: Millis,
    outcome: Option<Outcome>,
}

/// A sender under test. Every step checks rules 1, 2, 3, 5 and 6 on what it does.
pub struct Bench {
    pub sender: Policy,
    pub now: Millis,
    settings: Settings,
    taken: BTreeMap<MessageHandle, Taken>,
    order: Vec<MessageHandle>,
    listed: BTreeMap<RouteId, RouteEntry>,
    waits: BTreeMap<(DestinationId, Option<RouteId>), Millis>,
    rests: BTreeMap<u64, (Millis, MessageHandle)>,
}

impl Bench {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let sender = Policy::new(settings.clone(), seed).expect("settings that work");
        Self {
            sender,
            now: 1_000.0,
            settings,
            taken: BTreeMap::new(),
            order: Vec::new(),
            listed: BTreeMap::new(),
            waits: BTreeMap::new(),
            rests: BTreeMap::new(),
        }
    }

    /// Lets time pass and hands in a batch; what the sender does is checked and returned.
    pub fn step(&mut self, after: Millis, events: &[Event]) -> Vec<Action> {
        self.now += after;
        let already_over: Vec<MessageHandle> =
            self.taken.iter().filter(|(_, t)| t.ended).map(|(&id, _)| id).collect();
        events.iter().for_each(|event| self.note(event));
        let mut actions = Vec::new();
        self.sender.handle(self.now, events, &mut actions);
        actions.iter().for_each(|action| self.check(action, &already_over));
        let slack = 20.0;
        for (id, t) in &self.taken {
            let out = t.attempts.last().is_some_and(|a| a.outcome.is_none());
            assert!(t.ended || out || self.now <= t.ends_at + slack, "{id:?} was lost");
        }
        actions
    }

    /// Steps of 10 ms without events until the sender does something else than to ask for a wake-up.
    pub fn run(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut token = 0;
        let mut done = Vec::new();
        while self.now < end {
            let actions = self.step(10.0, &[Event::Wake(token)]);
            for action in actions {
                match action {
                    Action::Wake { token: t, .. } => token = t,
                    Action::Remember { .. } => {}
                    other => done.push(other),
                }
            }
            if !done.is_empty() {
                break;
            }
        }
        done
    }

    /// A message with so many attempts behind it, none of which ran.
    fn note_taken(&mut self, m: &Message, attempts: u32) {
        let never = |_| Try { route: RouteId(0), sent_at: self.now, outcome: Some(Outcome::ConnectFailed) };
        let attempts = (0..attempts).map(never).collect();
        let (message, ends_at) = (m.clone(), self.now + m.time_left);
        self.taken.insert(m.id, Taken { message, ends_at, attempts, ended: false });
        self.order.push(m.id);
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::Message(m) => self.note_taken(m, 0),
            Event::Recovered(m, past) => self.note_taken(m, past.attempts),
            Event::Dropped(id) => {
                self.taken.entry(*id).and_modify(|t| t.ended = true);
            }
            Event::Outcome { id, attempt, outcome, retry_after, closed } => {
                let Some(t) = self.taken.get_mut(id) else { return };
                t.ended |= closed;
                let Some(a) = t.attempts.get_mut(*attempt as usize) else { return };
                a.outcome = Some(*outcome);
                let line = &self.listed[&a.route];
                if *outcome == Outcome::Rejected && *retry_after > 0.0 {
                    let apart = self.settings.kinds[usize::from(line.kind)].routes_apart;
                    let wait = self.waits.entry((line.destination, apart.then_some(a.route))).or_default();
                    *wait = wait.max(self.now + retry_after);
                }
                let ordered = self.settings.classes[t.message.class].ordered;
                if ordered && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
                    let rest = (self.now + self.settings.ordering_key_pause, *id);
                    self.rests.insert(t.message.ordering_key, rest);
                }
            }
            Event::List(ListChange::Full(lines) | ListChange::Cached(lines)) => {
                self.listed.values_mut().for_each(|l| l.listing = Listing::Gone);
                self.listed.extend(lines.iter().map(|l| (l.route, l.clone())));
            }
            Event::List(ListChange::Delta(lines)) => {
                self.listed.extend(lines.iter().map(|l| (l.route, l.clone())));
            }
            _ => {}
        }
    }

    fn check(&mut self, action: &Action, already_over: &[MessageHandle]) {
        match *action {
            Action::Send { id, route, within, .. } => {
                assert!(!already_over.contains(&id), "{id:?} was sent after its end");
                let line = &self.listed[&route];
                let t = &self.taken[&id];
                assert!(!t.ended, "{id:?} was sent after its end");
                assert_eq!(line.destination, t.message.destination, "another destination");
                assert_eq!(line.listing, Listing::Ready, "{route:?} drains or is gone");
                let shared = self.waits.get(&(line.destination, None)).copied().unwrap_or(f64::NEG_INFINITY);
                let apart =
                    self.waits.get(&(line.destination, Some(route))).copied().unwrap_or(f64::NEG_INFINITY);
                assert!(self.now >= shared.max(apart), "sent during a told wait");
                assert!(t.attempts.last().is_none_or(|a| a.outcome.is_some()), "two attempts out");
                self.check_effect(t, line, within);
                self.check_turn(id);
                let sent = Try { route, sent_at: self.now, outcome: None };
                self.taken.get_mut(&id).expect("taken").attempts.push(sent);
            }
            Action::Refuse { id, .. } => {
                let t = self.taken.get_mut(&id).expect("taken");
                assert!(!t.ended, "{id:?} ended twice");
                let ran = t.attempts.iter().any(possibly_executed);
                match self.settings.classes[t.message.class].effect {
                    Effect::Idempotent | Effect::IdempotencyKey { group: KeyGroup::All, .. } => {}
                    _ => assert!(!ran, "{id:?} was refused though it may have run"),
                }
                t.ended = true;
            }
            Action::Fail { id } => {
                let t = self.taken.get_mut(&id).expect("taken");
                assert!(!t.ended, "{id:?} ended twice");
                t.ended = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.cancelling, "cancelling is not allowed");
                assert!((attempt as usize) < self.taken[&id].attempts.len(), "never sent");
            }
            Action::Wake { .. }
            | Action::HealthCheck { .. }
            | Action::Subscribe
            | Action::Remember { .. } => {}
        }
    }

    fn check_effect(&self, t: &Taken, line: &RouteEntry, within: Millis) {
        for earlier in t.attempts.iter().filter(|a| possibly_executed(a)) {
            match self.settings.classes[t.message.class].effect {
                Effect::Idempotent => {}
                Effect::NotIdempotent => panic!("an unsafe message was sent again"),
                Effect::IdempotencyKey { group, window } => {
                    assert!(self.now + within <= earlier.sent_at + window, "may go after the key's window");
                    let first = &self.listed[&earlier.route];
                    match group {
                        KeyGroup::All => {}
                        KeyGroup::Zone => assert_eq!(first.zone, line.zone, "another group"),
                        KeyGroup::Route => assert_eq!(first.route, line.route, "another group"),
                    }
                }
            }
        }
    }

    fn check_turn(&self, id: MessageHandle) {
        let message = &self.taken[&id].message;
        let key = message.ordering_key;
        if key == 0 || !self.settings.classes[message.class].ordered {
            return;
        }
        for earlier in self.order.iter().take_while(|&&e| e != id).map(|e| &self.taken[e]) {
            let ordered = self.settings.classes[earlier.message.class].ordered;
            if ordered && earlier.message.ordering_key == key {
                let out = earlier.attempts.iter().any(|a| a.outcome.is_none());
                assert!(earlier.ended && !out, "{id:?} went before its turn");
            }
        }
        if let Some((until, owner)) = self.rests.get(&key) {
            assert!(*owner == id || self.now >= *until, "{id:?} went while its key rested");
        }
    }
}

fn possibly_executed(a: &Try) -> bool {
    !matches!(a.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

pub fn sends(actions: &[Action]) -> Vec<(u32, u64)> {
    let pick = |a: &Action| match *a {
        Action::Send { id, route, .. } => Some((id.0, route.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// A call as a partner sees it: when after the scene's begin, which message, by which route.
pub type Call = (Millis, u32, u64);

/// Answers every call with what `answer` says (after how long, what, and the wait told) for so long.
pub fn play_calls(
    b: &mut Bench,
    first: Vec<Event>,
    span: Millis,
    attempts: &mut BTreeMap<u32, u32>,
    mut answer: impl FnMut(Millis, u64) -> (Millis, Outcome, Millis),
) -> Vec<Call> {
    let mut due: Vec<(Millis, Event)> = Vec::new();
    let (mut events, mut calls, mut token) = (first, Vec::new(), 0);
    let end = b.now + span;
    while b.now < end {
        events.push(Event::Wake(token));
        for action in b.step(5.0, &std::mem::take(&mut events)) {
            match action {
                Action::Wake { token: t, .. } => token = t,
                Action::Send { id, route, .. } => {
                    let attempt = attempts.entry(id.0).or_default();
                    let (after, seen, wait) = answer(b.now, route.0);
                    due.push((b.now + after, outcome(id.0, *attempt, seen, wait)));
                    calls.push((b.now, id.0, route.0));
                    *attempt += 1;
                }
                _ => {}
            }
        }
        let now = b.now;
        events.extend(due.iter().filter(|d| d.0 <= now).map(|d| d.1.clone()));
        due.retain(|d| d.0 > now);
    }
    calls
}
