//! Notifications to the platform about accepted messages that were not delivered; repeated until acknowledged.

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

/// Queue of notifications that have not been acknowledged. Its length is limited by the journal's space.
#[derive(Debug, Default)]
pub struct Notifications {
    pending: RefCell<VecDeque<QueuedNotification>>,
    next_number: Cell<u64>,
    pushed: Notify,
}

/// A notification in the queue.
#[derive(Clone, Debug)]
struct QueuedNotification {
    /// Identifies the notification; two may have the same message id.
    number: u64,
    notification: PendingNotification,
}

impl Notifications {
    /// Queues a notification.
    pub fn push(&self, notification: PendingNotification) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.pending.borrow_mut().push_back(QueuedNotification { number, notification });
        self.pushed.notify_one();
    }

    /// Whether every notification has been acknowledged.
    pub fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Sends notifications to the configured address, and reports acknowledgements to the engine. Ends when the engine has
    /// ended.
    pub async fn run(&self, address: watch::Receiver<SocketAddr>, engine: mpsc::Sender<Input>) {
        Delivery::new(self, address, engine).run().await;
    }

    /// The notifications at the head of the queue, up to `max_len`.
    fn batch(&self, max_len: usize) -> Vec<QueuedNotification> {
        self.pending.borrow().iter().take(max_len).cloned().collect()
    }

    /// Moves the notification at the head of the queue to its end.
    fn rotate(&self) {
        let mut pending = self.pending.borrow_mut();
        if let Some(first) = pending.pop_front() {
            pending.push_back(first);
        }
    }

    /// Removes the notifications with these numbers; returns the ids of those that were still pending, in their order.
    fn acknowledge(&self, numbers: &[u64]) -> Vec<MessageId> {
        let mut acknowledged = Vec::new();
        self.pending.borrow_mut().retain(|pending| {
            let is_acknowledged = numbers.contains(&pending.number);
            if is_acknowledged {
                acknowledged.push(pending.notification.message_id.clone());
            }
            !is_acknowledged
        });
        acknowledged
    }
}
