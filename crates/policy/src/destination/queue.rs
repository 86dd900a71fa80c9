//! The order in which destinations are served, and in which the waiting messages of a destination are sent.

use std::cmp::Ordering;
use std::collections::VecDeque;

use super::Destination;
use crate::context::Context;
use crate::interface::{DestinationId, MessageHandle, Millis};
use crate::messages::PendingMessages;

/// A waiting message with its sort keys.
struct QueuedMessage {
    urgency: f64,
    objective_at: Millis,
    id: MessageHandle,
}

impl QueuedMessage {
    /// Order of sending: by decreasing urgency, then by the earlier latency objective, then by handle.
    fn order(first: &Self, second: &Self) -> Ordering {
        let by_urgency = second.urgency.total_cmp(&first.urgency);
        let by_objective = first.objective_at.total_cmp(&second.objective_at);
        by_urgency.then(by_objective).then(first.id.cmp(&second.id))
    }
}

/// The waiting messages of a destination, the most urgent one first.
pub(crate) struct DestinationQueue {
    /// Sum of the urgencies of the messages that the next call can carry.
    urgency: f64,
    pub destination: DestinationId,
    pub messages: VecDeque<MessageHandle>,
}

impl DestinationQueue {
    /// Order of serving: by decreasing urgency of the next call, then by destination.
    pub fn order(first: &Self, second: &Self) -> Ordering {
        let by_urgency = second.urgency.total_cmp(&first.urgency);
        by_urgency.then(first.destination.cmp(&second.destination))
    }
}

impl Destination {
    /// The waiting messages in the order in which they are sent.
    pub fn queue(&self, context: &Context, messages: &PendingMessages) -> DestinationQueue {
        let queued = |&id: &MessageHandle| {
            let message = messages.get(id)?;
            let urgency = message.urgency(context);
            Some(QueuedMessage { urgency, objective_at: message.weight.objective_at, id })
        };
        let mut queue: Vec<QueuedMessage> = self.waiting.iter().filter_map(queued).collect();
        queue.sort_by(QueuedMessage::order);
        // Because of the sum, calls that carry many messages come first, which matters while slots are
        // scarce.
        let urgency = queue.iter().take(self.max_batch).map(|queued| queued.urgency).sum();
        let messages = queue.into_iter().map(|queued| queued.id).collect();
        DestinationQueue { urgency, destination: self.id, messages }
    }
}
