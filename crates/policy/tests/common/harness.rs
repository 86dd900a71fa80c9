//! A policy under test whose actions are checked against the delivery rules at each step.

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{
    Action, AttemptResult, Event, LimitScope, ListChange, Listing, Message, MessageHandle, Millis, Outcome,
    RouteEntry, RouteId, Settings,
};

/// Maximum delay of a final outcome after a message has expired, in ms.
const OUTCOME_TOLERANCE: Millis = 20.0;

/// A message that the policy has accepted.
pub struct AcceptedMessage {
    pub message: Message,
    pub expires_at: Millis,
    pub attempts: Vec<Attempt>,
    pub completed: bool,
}

/// An attempt of a message; in flight while it has no outcome.
pub struct Attempt {
    pub route: RouteId,
    pub sent_at: Millis,
    pub outcome: Option<Outcome>,
}

/// The pause of an ordering key.
pub struct KeyPause {
    pub until: Millis,
    /// The message whose retries it does not delay.
    pub paused_by: MessageHandle,
}

/// A policy under test. Every step checks its actions against the delivery rules.
pub struct Harness {
    pub policy: Policy,
    pub now: Millis,
    pub(super) settings: Settings,
    pub(super) accepted: BTreeMap<MessageHandle, AcceptedMessage>,
    pub(super) order: Vec<MessageHandle>,
    pub(super) listed: BTreeMap<RouteId, RouteEntry>,
    pub(super) retry_after_until: BTreeMap<LimitScope, Millis>,
    pub(super) key_pauses: BTreeMap<u64, KeyPause>,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let policy = Policy::new(settings.clone(), seed).expect("settings that work");
        Self {
            policy,
            now: 1_000.0,
            settings,
            accepted: BTreeMap::new(),
            order: Vec::new(),
            listed: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            key_pauses: BTreeMap::new(),
        }
    }

    /// Advances the clock and calls the policy with a batch of events. Returns the actions, which are
    /// checked.
    pub fn step(&mut self, after: Millis, events: &[Event]) -> Vec<Action> {
        self.now += after;
        let completed = self.accepted.iter().filter(|(_, message)| message.completed);
        let completed_before: Vec<MessageHandle> = completed.map(|(&id, _)| id).collect();
        for event in events {
            self.record(event);
        }
        let mut actions = Vec::new();
        self.policy.handle(self.now, events, &mut actions);
        for action in &actions {
            self.check(action, &completed_before);
        }
        for (id, message) in &self.accepted {
            let in_flight = message.attempts.last().is_some_and(|attempt| attempt.outcome.is_none());
            let has_time = self.now <= message.expires_at + OUTCOME_TOLERANCE;
            assert!(message.completed || in_flight || has_time, "{id:?} was lost");
        }
        actions
    }

    /// Advances the clock by 10 ms at a time until the policy returns an action other than a wake-up.
    pub fn run(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut token = 0;
        let mut done = Vec::new();
        while self.now < end && done.is_empty() {
            for action in self.step(10.0, &[Event::Wake(token)]) {
                match action {
                    Action::Wake { token: next, .. } => token = next,
                    Action::PersistOutage { .. } => {}
                    other => done.push(other),
                }
            }
        }
        done
    }

    fn record(&mut self, event: &Event) {
        match event {
            Event::Message(message) => self.record_message(message, 0),
            Event::Recovered(message, history) => self.record_message(message, history.attempts),
            Event::Dropped(id) => {
                self.accepted.entry(*id).and_modify(|message| message.completed = true);
            }
            Event::Outcome(result) => self.record_outcome(result),
            Event::List(ListChange::Full(entries) | ListChange::Cached(entries)) => {
                self.listed.values_mut().for_each(|entry| entry.listing = Listing::Removed);
                self.listed.extend(entries.iter().map(|entry| (entry.route, entry.clone())));
            }
            Event::List(ListChange::Delta(entries)) => {
                self.listed.extend(entries.iter().map(|entry| (entry.route, entry.clone())));
            }
            _ => {}
        }
    }

    /// Records a message with this many earlier attempts, none of which was executed.
    fn record_message(&mut self, message: &Message, attempts: u32) {
        let sent_at = self.now;
        let not_executed = |_| Attempt { route: RouteId(0), sent_at, outcome: Some(Outcome::ConnectFailed) };
        let accepted = AcceptedMessage {
            message: message.clone(),
            expires_at: self.now + message.time_left,
            attempts: (0..attempts).map(not_executed).collect(),
            completed: false,
        };
        self.accepted.insert(message.id, accepted);
        self.order.push(message.id);
    }

    fn record_outcome(&mut self, result: &AttemptResult) {
        let AttemptResult { id, attempt, outcome, retry_after, completed } = *result;
        let Some(accepted) = self.accepted.get_mut(&id) else { return };
        accepted.completed |= completed;
        let Some(attempt) = accepted.attempts.get_mut(attempt as usize) else { return };
        attempt.outcome = Some(outcome);
        let entry = &self.listed[&attempt.route];
        if outcome == Outcome::Rejected && retry_after > 0.0 {
            let limit_per_route = self.settings.kinds[usize::from(entry.kind)].limit_per_route;
            let scope = LimitScope {
                destination: entry.destination,
                route: limit_per_route.then_some(attempt.route),
            };
            let until = self.retry_after_until.entry(scope).or_default();
            *until = until.max(self.now + retry_after);
        }
        let ordered = self.settings.classes[accepted.message.class].ordered;
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if ordered && may_still_run {
            let until = self.now + self.settings.ordering_key_pause;
            self.key_pauses.insert(accepted.message.ordering_key, KeyPause { until, paused_by: id });
        }
    }
}
