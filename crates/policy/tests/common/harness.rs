//! A harness that passes events to a policy and checks its actions against the delivery rules.

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{
    Action, AttemptResult, Event, LimitScope, ListChange, Listing, Message, MessageHandle, Millis, Outcome,
    RouteEntry, RouteId, Settings,
};

/// Maximum delay of a final outcome after a message has expired, in ms.
const FINAL_OUTCOME_TOLERANCE: Millis = 20.0;

/// A message that the policy has accepted.
pub struct AcceptedMessage {
    pub message: Message,
    pub expires_at: Millis,
    pub attempts: Vec<Attempt>,
    /// Whether the message has a final outcome, or its client has disconnected.
    pub completed: bool,
}

/// An attempt of a message.
pub struct Attempt {
    pub route: RouteId,
    pub sent_at: Millis,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

/// A pause of an ordering key, after an attempt that the receiver may still execute.
pub struct KeyPause {
    pub ends_at: Millis,
    /// The message whose attempt caused the pause; the pause does not delay its retries.
    pub paused_by: MessageHandle,
}

/// A policy under test, with the state that the checks of the delivery rules need.
pub struct Harness {
    pub policy: Policy,
    /// Current simulated time.
    pub now: Millis,
    pub(super) settings: Settings,
    pub(super) accepted: BTreeMap<MessageHandle, AcceptedMessage>,
    /// Messages in the order of their acceptance.
    pub(super) acceptance_order: Vec<MessageHandle>,
    /// Current entry of each route, including removed ones.
    pub(super) routes: BTreeMap<RouteId, RouteEntry>,
    /// When the Retry-After of each limit ends.
    pub(super) retry_after_until: BTreeMap<LimitScope, Millis>,
    /// The last pause of each ordering key.
    pub(super) key_pauses: BTreeMap<u64, KeyPause>,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let policy = Policy::new(settings.clone(), seed).expect("valid settings");
        Self {
            policy,
            now: 1_000.0,
            settings,
            accepted: BTreeMap::new(),
            acceptance_order: Vec::new(),
            routes: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            key_pauses: BTreeMap::new(),
        }
    }

    /// Advances the clock, passes a batch of events to the policy, and checks and returns its actions.
    ///
    /// # Panics
    ///
    /// Panics if an action violates a delivery rule, or if a message is not completed after it has expired.
    pub fn step(&mut self, elapsed: Millis, events: &[Event]) -> Vec<Action> {
        self.now += elapsed;
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
            let within_tolerance = self.now <= message.expires_at + FINAL_OUTCOME_TOLERANCE;
            assert!(
                message.completed || in_flight || within_tolerance,
                "{id:?} has expired without a final outcome"
            );
        }
        actions
    }

    /// Advances the clock by 10 ms at a time, for `max_duration` at most, until the policy returns an action
    /// other than a wake-up or an outage state to persist. Returns the actions of that step.
    pub fn run(&mut self, max_duration: Millis) -> Vec<Action> {
        let end = self.now + max_duration;
        let mut token = 0;
        let mut actions = Vec::new();
        while self.now < end && actions.is_empty() {
            for action in self.step(10.0, &[Event::Wake(token)]) {
                match action {
                    Action::Wake { token: next_token, .. } => token = next_token,
                    Action::PersistOutage { .. } => {}
                    other => actions.push(other),
                }
            }
        }
        actions
    }

    fn record(&mut self, event: &Event) {
        match event {
            Event::Message(message) => self.record_message(message, 0),
            Event::Recovered(message, history) => self.record_message(message, history.attempts),
            Event::ClientDisconnected(id) => {
                self.accepted.entry(*id).and_modify(|message| message.completed = true);
            }
            Event::Outcome(result) => self.record_outcome(result),
            Event::List(ListChange::Full(entries) | ListChange::Cached(entries)) => {
                self.routes.values_mut().for_each(|entry| entry.listing = Listing::Removed);
                self.routes.extend(entries.iter().map(|entry| (entry.route, entry.clone())));
            }
            Event::List(ListChange::Delta(entries)) => {
                self.routes.extend(entries.iter().map(|entry| (entry.route, entry.clone())));
            }
            _ => {}
        }
    }

    /// Records a message that has had `attempts` attempts before, none of which was executed.
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
        self.acceptance_order.push(message.id);
    }

    fn record_outcome(&mut self, result: &AttemptResult) {
        let AttemptResult { id, attempt, outcome, retry_after, completed } = *result;
        let Some(accepted) = self.accepted.get_mut(&id) else { return };
        accepted.completed |= completed;
        let Some(attempt) = accepted.attempts.get_mut(attempt as usize) else { return };
        attempt.outcome = Some(outcome);
        let entry = &self.routes[&attempt.route];
        if outcome == Outcome::Rejected && retry_after > 0.0 {
            let limit_per_route = self.settings.kinds[usize::from(entry.kind)].limit_per_route;
            let scope = LimitScope {
                destination: entry.destination,
                route: limit_per_route.then_some(attempt.route),
            };
            let ends_at = self.retry_after_until.entry(scope).or_default();
            *ends_at = ends_at.max(self.now + retry_after);
        }
        let ordered = self.settings.classes[accepted.message.class].ordered;
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if ordered && may_still_run {
            let ends_at = self.now + self.settings.ordering_key_pause;
            self.key_pauses.insert(accepted.message.ordering_key, KeyPause { ends_at, paused_by: id });
        }
    }
}
