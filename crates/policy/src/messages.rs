//! The messages that are pending at this sender, and the order of those with ordering keys.

mod pending;

use std::collections::BTreeMap;

pub(crate) use pending::{InFlightAttempt, PendingMessage, PossibleExecution};

use crate::context::Context;
use crate::interface::{AttemptResult, DestinationId, MessageHandle, Millis, Outcome};
use crate::key_ordering::KeyOrdering;

/// The accepted messages. A message is removed once it is completed and no attempt is in flight.
#[derive(Debug, Default)]
pub(crate) struct PendingMessages {
    by_id: BTreeMap<MessageHandle, PendingMessage>,
    key_ordering: KeyOrdering,
}

impl PendingMessages {
    /// Adds a message as the last one of its ordering key.
    pub fn insert(&mut self, id: MessageHandle, message: PendingMessage) {
        self.key_ordering.push(message.ordering_key, id);
        self.by_id.insert(id, message);
    }

    pub fn contains(&self, id: MessageHandle) -> bool {
        self.by_id.contains_key(&id)
    }

    pub fn get(&self, id: MessageHandle) -> Option<&PendingMessage> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: MessageHandle) -> Option<&mut PendingMessage> {
        self.by_id.get_mut(&id)
    }

    /// The messages in the order of their handles.
    pub fn iter(&self) -> impl Iterator<Item = (MessageHandle, &PendingMessage)> {
        self.by_id.iter().map(|(&id, message)| (id, message))
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of ordering keys that have messages or are paused.
    pub fn ordering_keys(&self) -> usize {
        self.key_ordering.len()
    }

    /// Removes an attempt in flight from its message and returns it; `None` if the attempt is not in flight.
    pub fn take_in_flight(&mut self, id: MessageHandle, attempt: u32) -> Option<InFlightAttempt> {
        self.get_mut(id)?.in_flight.take_if(|in_flight| in_flight.attempt == attempt)
    }

    /// Records the result of an attempt: whether it may have been executed, and that no attempts are left.
    /// The message's ordering key is paused while the attempt may still be running.
    pub fn record_result(
        &mut self,
        context: &Context,
        result: &AttemptResult,
        execution: Option<PossibleExecution>,
    ) {
        let Some(message) = self.by_id.get_mut(&result.id) else { return };
        match result.outcome {
            Outcome::AttemptsExhausted => message.attempts = context.settings.max_attempts,
            Outcome::NotStarted => message.attempts = result.attempt,
            _ => {}
        }
        if !result.outcome.possibly_executed() || result.outcome == Outcome::Ok {
            return;
        }
        message.possibly_executed = message.possibly_executed.or(execution);
        let may_still_run = result.outcome != Outcome::Error;
        if may_still_run {
            let until = context.now + context.settings.ordering_key_pause;
            self.key_ordering.pause(message.ordering_key, result.id, until);
        }
    }

    /// Records that a response has started to stream; from then on the message does not expire.
    pub fn record_start_of_response(&mut self, id: MessageHandle, attempt: u32) {
        let Some(message) = self.by_id.get_mut(&id) else { return };
        if message.in_flight.is_some_and(|in_flight| in_flight.attempt == attempt) {
            message.weight.expires_at = f64::INFINITY;
        }
    }

    /// Marks a message as completed, and removes it if no attempt is in flight. Returns the destination if
    /// the message was removed.
    pub fn complete(&mut self, id: MessageHandle) -> Option<DestinationId> {
        let message = self.by_id.get_mut(&id)?;
        message.completed = true;
        if message.in_flight.is_some() {
            return None;
        }
        let message = self.by_id.remove(&id)?;
        self.key_ordering.remove(message.ordering_key, id);
        Some(message.destination)
    }

    /// The least valuable waiting message that the client may safely submit again.
    pub fn least_valuable_refusable(&self, context: &Context) -> Option<MessageHandle> {
        let value = |message: &PendingMessage| context.settings.value_at(&message.weight, context.now);
        self.iter()
            .filter(|(_, message)| !message.completed && message.in_flight.is_none())
            .filter(|(_, message)| message.is_refusable(&context.settings))
            .min_by(|(_, first), (_, second)| value(first).total_cmp(&value(second)))
            .map(|(id, _)| id)
    }

    /// Whether a message is the first of its ordering key, and the key is not paused for it.
    pub fn is_next_of_its_key(&self, id: MessageHandle, now: Millis) -> bool {
        let Some(message) = self.get(id) else { return false };
        self.key_ordering.is_next(message.ordering_key, id, now)
    }

    /// The times at which paused ordering keys resume.
    pub fn key_pause_ends(&self, now: Millis) -> impl Iterator<Item = Millis> {
        self.key_ordering.pause_ends(now)
    }

    /// Removes the ordering keys that have no messages and are not paused.
    pub fn remove_idle_keys(&mut self, now: Millis) {
        self.key_ordering.remove_idle(now);
    }
}
