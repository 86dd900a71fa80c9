//! Sending messages to the other process of this sender, whether or not one is connected.

use std::cell::{Cell, RefCell};

use tokio::sync::mpsc;

use super::message::HandoverMessage;

/// The connection to the other process of this sender. Messages are dropped while no process is connected.
#[derive(Debug, Default)]
pub struct PeerProcess {
    /// The queue of the connected process; `None` while no process is connected.
    outgoing: RefCell<Option<mpsc::Sender<HandoverMessage>>>,
    /// Whether this process is a successor whose owner answers claims.
    owner_answers_claims: Cell<bool>,
}

impl PeerProcess {
    /// Whether another process is connected.
    pub fn is_connected(&self) -> bool {
        self.outgoing.borrow().as_ref().is_some_and(|outgoing| !outgoing.is_closed())
    }

    /// Whether this process is a successor and claims the ids of new messages from its owner, also after the owner has been
    /// disconnected.
    pub fn owner_answers_claims(&self) -> bool {
        self.owner_answers_claims.get()
    }

    /// Records that the owner answers claims.
    pub(super) fn set_owner_answers_claims(&self) {
        self.owner_answers_claims.set(true);
    }

    /// Queues a message for the other process. The message is dropped if no process is connected or the queue is full.
    pub fn send(&self, message: HandoverMessage) {
        if let Some(outgoing) = &*self.outgoing.borrow() {
            let _ = outgoing.try_send(message);
        }
    }

    /// Waits until the connected process, if there is one, has been disconnected by [`PeerProcess::disconnect`].
    pub(super) async fn disconnected(&self) {
        loop {
            let Some(outgoing) = self.outgoing.borrow().clone() else { return };
            outgoing.closed().await;
        }
    }

    /// Sets the queue of a new connection, to which later messages are sent.
    pub(crate) fn connect(&self, outgoing: mpsc::Sender<HandoverMessage>) {
        *self.outgoing.borrow_mut() = Some(outgoing);
    }

    /// Removes the connection; later messages are dropped.
    pub(super) fn disconnect(&self) {
        *self.outgoing.borrow_mut() = None;
    }
}
