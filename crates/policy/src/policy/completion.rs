//! Completes messages whose final outcome is due, and sheds load.

use super::Policy;
use crate::destination::Destination;
use crate::interface::{Action, MessageHandle, Millis};

/// Fraction of the maximum number of pending messages above which load is shed.
const SHED_THRESHOLD_FRACTION: f64 = 0.95;

impl Policy {
    /// Completes a message without an action to the host. The message is removed at once, or when the result
    /// of its attempt in flight arrives.
    pub(super) fn complete(&mut self, id: MessageHandle) {
        let Some(destination) = self.messages.complete(id) else { return };
        if let Some(destination) = self.destinations.get_mut(destination) {
            destination.remove_waiting(id);
        }
    }

    /// Gives a message its final outcome: refused if the client may safely submit it again, otherwise failed.
    pub(super) fn refuse_or_fail(
        &mut self,
        id: MessageHandle,
        retry_after: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.messages.get(id) else { return };
        let settings = &self.context.settings;
        if message.is_refusable(settings) {
            let retry_after = if settings.retry_after { retry_after } else { 0.0 };
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.complete(id);
    }

    /// Gives each waiting message its final outcome once that is due, so that no message is lost.
    pub(super) fn refuse_or_fail_due_messages(&mut self, actions: &mut Vec<Action>) {
        let now = self.context.now;
        let is_due =
            |id: &MessageHandle| self.messages.get(*id).is_some_and(|message| message.outcome_due_at <= now);
        let waiting = self.destinations.with_waiting_messages().flat_map(Destination::waiting);
        let due: Vec<MessageHandle> = waiting.copied().filter(is_due).collect();
        for id in due {
            self.refuse_or_fail(id, 0.0, actions);
        }
    }

    /// Number of pending messages above which load is shed.
    pub(super) fn shed_threshold(&self) -> usize {
        (self.context.settings.max_pending as f64 * SHED_THRESHOLD_FRACTION) as usize
    }

    /// Refuses the least valuable waiting messages while the number of pending messages is above the
    /// threshold. Clients then have time to submit the refused messages again.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.shed_threshold() {
            let Some(id) = self.messages.least_valuable_refusable(&self.context) else { return };
            self.refuse_or_fail(id, self.context.settings.max_retry_after / 2.0, actions);
        }
    }
}
