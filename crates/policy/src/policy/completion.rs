//! Completes messages: which final outcome each gets, which are due, and which are shed under load.

use super::Policy;
use super::state::PendingMessage;
use crate::interface::{Action, DestinationId, Effect, KeyGroup, MessageHandle, Millis};

/// How far ahead the value lost by waiting is reckoned, ms.
const LOOKAHEAD: Millis = 2_000.0;
/// Share of the most pending messages at which load is shed.
const SHED_AT: f64 = 0.95;

impl Policy {
    /// The value lost if the message waits on: the order in which messages go.
    pub(super) fn urgency(&self, message: &PendingMessage) -> f64 {
        let now = self.settings.value_at(&message.weight, self.now);
        let later = self.settings.value_at(&message.weight, self.now + LOOKAHEAD);
        now - later
    }

    /// Gives the final outcome: refused where a new submission is harmless, else failed.
    pub(super) fn refuse_or_fail(
        &mut self,
        id: MessageHandle,
        retry_after: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.messages.get(&id) else { return };
        if self.is_refusable(message) {
            let retry_after = if self.settings.retry_after { retry_after } else { 0.0 };
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.complete(id);
    }

    /// Whether the client may safely submit the message again.
    fn is_refusable(&self, message: &PendingMessage) -> bool {
        let possibly_executed = message.possibly_executed.is_some() || message.in_flight.is_some();
        match self.settings.classes[message.weight.class].effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group, .. } => group == KeyGroup::All || !possibly_executed,
            Effect::NotIdempotent => !possibly_executed,
        }
    }

    /// Gives each waiting message its final outcome once that is due: none is lost.
    pub(super) fn complete_due_messages(&mut self, busy: &[DestinationId], actions: &mut Vec<Action>) {
        let mut due: Vec<MessageHandle> = Vec::new();
        for destination in busy.iter().filter_map(|id| self.destinations.get(id)) {
            for id in &destination.waiting {
                if self.messages.get(id).is_some_and(|message| message.outcome_due_at <= self.now) {
                    due.push(*id);
                }
            }
        }
        for id in due {
            self.refuse_or_fail(id, 0.0, actions);
        }
    }

    /// Messages that may be pending before load is shed.
    pub(super) fn shed_threshold(&self) -> usize {
        (self.settings.max_pending as f64 * SHED_AT) as usize
    }

    /// Refuses the waiting messages of least value, early enough for their clients to submit them again.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.shed_threshold() {
            let Some(id) = self.least_valuable_refusable() else { return };
            self.refuse_or_fail(id, self.settings.max_retry_after / 2.0, actions);
        }
    }

    fn least_valuable_refusable(&self) -> Option<MessageHandle> {
        let value = |message: &PendingMessage| self.settings.value_at(&message.weight, self.now);
        self.messages
            .iter()
            .filter(|(_, message)| !message.completed && message.in_flight.is_none())
            .filter(|(_, message)| self.is_refusable(message))
            .min_by(|first, second| value(first.1).total_cmp(&value(second.1)))
            .map(|(&id, _)| id)
    }
}
