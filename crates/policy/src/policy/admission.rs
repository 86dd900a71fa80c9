//! Admits new and recovered messages, and decides by when each must have its final outcome.

use super::Policy;
use super::state::PendingMessage;
use crate::interface::{AttemptHistory, Class, Effect, Message, MessageHandle, Millis};
use crate::priority_weight::PriorityWeight;

/// A final outcome is given two ticks and this much before the message expires, ms.
const OUTCOME_MARGIN: Millis = 5.0;
/// No attempt goes this close to the end of an idempotency key's window, ms.
const KEY_WINDOW_MARGIN: Millis = 50.0;

impl Policy {
    /// Takes in a message with the attempts that it has behind it; one that is known already is ignored.
    pub(super) fn admit(&mut self, message: &Message, history: &AttemptHistory) {
        if self.messages.contains_key(&message.id) {
            return;
        }
        let class_index = message.class.min(self.settings.classes.len() - 1);
        let within_quota = self.quotas.admits(self.now, &self.settings, message.tenant);
        let class = &self.settings.classes[class_index];
        let value = if within_quota { class.value } else { class.value * self.settings.over_quota_value };
        let expires_at = self.now + message.time_left;
        let objective_at = expires_at - class.deadline + latency_objective(class, message.work_guess);
        let ordering_key = if class.ordered { message.ordering_key } else { 0 };
        let pending = PendingMessage {
            weight: PriorityWeight { class: class_index, value, objective_at, expires_at },
            destination: message.destination,
            ordering_key,
            attempts: history.attempts,
            possibly_executed: self.possible_execution(history),
            ..PendingMessage::default()
        };
        self.key_ordering.join(ordering_key, message.id);
        self.messages.insert(message.id, pending);
        self.park(message.id);
        self.count_arrival(message.destination);
    }

    /// The message waits for a decision; its outcome is due before it expires, or now if no attempt is left.
    pub(super) fn park(&mut self, id: MessageHandle) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let effect = self.settings.classes[message.weight.class].effect;
        let mut due_at = message.weight.expires_at - 2.0 * self.settings.tick - OUTCOME_MARGIN;
        match (message.possibly_executed, effect) {
            (Some(execution), Effect::IdempotencyKey { window, .. }) => {
                due_at = due_at.min(execution.sent_at + window - KEY_WINDOW_MARGIN);
            }
            (Some(_), Effect::NotIdempotent) => due_at = self.now,
            _ => {}
        }
        if message.attempts >= self.settings.max_attempts {
            due_at = self.now;
        }
        message.outcome_due_at = due_at;
        let destination = message.destination;
        self.destinations.entry(destination).or_default().waiting.push(id);
        self.busy.insert(destination);
    }
}

/// The latency objective of one message, which grows with its own work up to the deadline.
fn latency_objective(class: &Class, work_guess: Option<Millis>) -> Millis {
    let stretch = class.latency_objective_stretch * work_guess.unwrap_or(0.0);
    (class.latency_objective + stretch).min(class.deadline)
}
