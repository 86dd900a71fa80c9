//! Notifications to the platform about accepted messages that were not delivered. Each notification is sent repeatedly
//! until the platform acknowledges it.

mod delivery;
mod request;

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;

use rudderspindle_journal::{MessageId, PendingNotification};
use tokio::sync::{Notify, mpsc, watch};

use crate::event::Input;
use delivery::Delivery;

/// Queue of notifications that have not been acknowledged. The queue has no limit of its own: the journal's space
/// limits the number of messages.
#[derive(Debug, Default)]
pub struct Notifications {
    queue: RefCell<VecDeque<QueuedNotification>>,
    /// The number of the next notification that is queued.
    next_number: Cell<u64>,
    /// Notified when a notification is queued.
    pushed: Notify,
}

/// A notification in the queue.
#[derive(Clone, Debug)]
struct QueuedNotification {
    /// Identifies the notification, because two may have the same message id.
    number: u64,
    notification: PendingNotification,
}

impl Notifications {
    /// Queues a notification.
    pub fn push(&self, notification: PendingNotification) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.queue.borrow_mut().push_back(QueuedNotification { number, notification });
        self.pushed.notify_one();
    }

    /// Whether every notification has been acknowledged.
    pub fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Sends notifications to the configured address and reports acknowledgements to the engine. Ends when an
    /// acknowledgement cannot be reported because the engine has ended.
    pub async fn run(&self, address: watch::Receiver<SocketAddr>, engine: mpsc::Sender<Input>) {
        Delivery::new(self, address, engine).run().await;
    }

    /// The notifications at the head of the queue, up to `max_len`.
    fn batch(&self, max_len: usize) -> Vec<QueuedNotification> {
        self.queue.borrow().iter().take(max_len).cloned().collect()
    }

    /// Moves the notification at the head of the queue to its end.
    fn rotate(&self) {
        let mut queue = self.queue.borrow_mut();
        if let Some(first) = queue.pop_front() {
            queue.push_back(first);
        }
    }

    /// Removes the notifications with these numbers; returns the message ids of those that were still queued, in the
    /// order of the queue.
    fn acknowledge(&self, numbers: &[u64]) -> Vec<MessageId> {
        let mut acknowledged = Vec::new();
        self.queue.borrow_mut().retain(|queued| {
            let is_acknowledged = numbers.contains(&queued.number);
            if is_acknowledged {
                acknowledged.push(queued.notification.message_id.clone());
            }
            !is_acknowledged
        });
        acknowledged
    }
}
