//! Decides in which order destinations are served, and in which order their waiting messages go.

use std::collections::VecDeque;

use super::Policy;
use crate::interface::{DestinationId, MessageHandle, Millis};

/// A waiting message in the order of its destination.
struct QueuedMessage {
    urgency: f64,
    objective_at: Millis,
    id: MessageHandle,
}

/// The waiting messages of a destination, the most urgent first.
pub(super) struct DestinationQueue {
    /// The urgency of the messages that its next call can carry.
    urgency: f64,
    pub(super) destination: DestinationId,
    pub(super) messages: VecDeque<MessageHandle>,
}

impl Policy {
    /// The queues of the destinations, the one with the most urgent next call first.
    pub(super) fn queues_by_urgency(&self, busy: &[DestinationId]) -> Vec<DestinationQueue> {
        let mut queues: Vec<DestinationQueue> = busy.iter().filter_map(|&id| self.queue_of(id)).collect();
        queues.sort_by(|first, second| {
            let by_urgency = second.urgency.total_cmp(&first.urgency);
            by_urgency.then(first.destination.cmp(&second.destination))
        });
        queues
    }

    fn queue_of(&self, id: DestinationId) -> Option<DestinationQueue> {
        let destination = self.destinations.get(&id)?;
        let mut queue: Vec<QueuedMessage> =
            destination.waiting.iter().filter_map(|&message| self.queued(message)).collect();
        queue.sort_by(|first, second| {
            let by_urgency = second.urgency.total_cmp(&first.urgency);
            let by_objective = first.objective_at.total_cmp(&second.objective_at);
            by_urgency.then(by_objective).then(first.id.cmp(&second.id))
        });
        // Where slots are scarce, a call of many messages goes first.
        let urgency = queue.iter().take(destination.max_bundle).map(|queued| queued.urgency).sum();
        let messages = queue.into_iter().map(|queued| queued.id).collect();
        Some(DestinationQueue { urgency, destination: id, messages })
    }

    fn queued(&self, id: MessageHandle) -> Option<QueuedMessage> {
        let message = self.messages.get(&id)?;
        Some(QueuedMessage { urgency: self.urgency(message), objective_at: message.weight.objective_at, id })
    }
}
