//! Checks of the delivery rules 1, 2, 3, 5 and 6 on each action of a policy: final outcomes, routes,
//! Retry-After, repeated execution and order.

use rudderspindle_policy::interface::{
    Action, Effect, KeyGroup, LimitScope, Listing, MessageHandle, Millis, Outcome, RouteEntry, RouteId,
};

use super::harness::{AcceptedMessage, Attempt, Harness};

impl Harness {
    /// Checks an action and records its effect. `completed_before` holds the messages that were completed
    /// before this batch of events.
    pub(super) fn check(&mut self, action: &Action, completed_before: &[MessageHandle]) {
        match *action {
            Action::Send { id, route, start_within, .. } => {
                assert!(!completed_before.contains(&id), "{id:?} was sent after its final outcome");
                self.check_send(id, route, start_within);
                let sent = Attempt { route, sent_at: self.now, outcome: None };
                self.accepted.get_mut(&id).expect("accepted").attempts.push(sent);
            }
            Action::Refuse { id, .. } => {
                self.check_refusal(id);
                self.complete(id);
            }
            Action::Fail { id } => self.complete(id),
            Action::Cancel { id, attempt } => {
                assert!(self.settings.cancelling, "{id:?} was cancelled though the settings do not allow it");
                assert!(
                    (attempt as usize) < self.accepted[&id].attempts.len(),
                    "{id:?}: attempt {attempt} was never sent"
                );
            }
            Action::Wake { .. }
            | Action::HealthCheck { .. }
            | Action::Subscribe
            | Action::PersistOutage { .. } => {}
        }
    }

    fn complete(&mut self, id: MessageHandle) {
        let accepted = self.accepted.get_mut(&id).expect("accepted");
        assert!(!accepted.completed, "{id:?} has two final outcomes");
        accepted.completed = true;
    }

    fn check_send(&self, id: MessageHandle, route: RouteId, start_within: Millis) {
        let entry = &self.routes[&route];
        let accepted = &self.accepted[&id];
        assert!(!accepted.completed, "{id:?} was sent after its final outcome");
        assert_eq!(
            entry.destination, accepted.message.destination,
            "{route:?} belongs to another destination"
        );
        assert_eq!(entry.listing, Listing::Ready, "{route:?} is draining or removed");
        let retry_after_end = |route| {
            let scope = LimitScope { destination: entry.destination, route };
            self.retry_after_until.get(&scope).copied().unwrap_or(f64::NEG_INFINITY)
        };
        let shared_end = retry_after_end(None);
        let route_end = retry_after_end(Some(route));
        assert!(self.now >= shared_end.max(route_end), "{id:?} was sent within a Retry-After");
        let in_flight = accepted.attempts.last().is_some_and(|attempt| attempt.outcome.is_none());
        assert!(!in_flight, "{id:?} has two attempts in flight");
        self.check_effect(accepted, entry, start_within);
        self.check_order(id);
    }

    fn check_refusal(&self, id: MessageHandle) {
        let accepted = &self.accepted[&id];
        let possibly_executed = accepted.attempts.iter().any(is_possibly_executed);
        match self.settings.classes[accepted.message.class].effect {
            Effect::Idempotent | Effect::IdempotencyKey { group: KeyGroup::All, .. } => {}
            _ => assert!(!possibly_executed, "{id:?} was refused though it may have been executed"),
        }
    }

    fn check_effect(&self, accepted: &AcceptedMessage, entry: &RouteEntry, start_within: Millis) {
        for earlier in accepted.attempts.iter().filter(|attempt| is_possibly_executed(attempt)) {
            match self.settings.classes[accepted.message.class].effect {
                Effect::Idempotent => {}
                Effect::NotIdempotent => panic!("a message that is not idempotent was sent again"),
                Effect::IdempotencyKey { group, window } => {
                    assert!(
                        self.now + start_within <= earlier.sent_at + window,
                        "a message may be sent after the window of its idempotency key"
                    );
                    let first = &self.routes[&earlier.route];
                    match group {
                        KeyGroup::All => {}
                        KeyGroup::Zone => assert_eq!(first.zone, entry.zone, "retry in another zone"),
                        KeyGroup::Route => assert_eq!(first.route, entry.route, "retry by another route"),
                    }
                }
            }
        }
    }

    fn check_order(&self, id: MessageHandle) {
        let message = &self.accepted[&id].message;
        let key = message.ordering_key;
        if key == 0 || !self.settings.classes[message.class].ordered {
            return;
        }
        let earlier = self.acceptance_order.iter().take_while(|&&earlier| earlier != id);
        for earlier in earlier.map(|earlier| &self.accepted[earlier]) {
            let ordered = self.settings.classes[earlier.message.class].ordered;
            if ordered && earlier.message.ordering_key == key {
                let in_flight = earlier.attempts.iter().any(|attempt| attempt.outcome.is_none());
                assert!(earlier.completed && !in_flight, "{id:?} was sent out of order");
            }
        }
        if let Some(pause) = self.key_pauses.get(&key) {
            let may_be_sent = pause.paused_by == id || self.now >= pause.ends_at;
            assert!(may_be_sent, "{id:?} was sent while its ordering key was paused");
        }
    }
}

fn is_possibly_executed(attempt: &Attempt) -> bool {
    !matches!(attempt.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}
