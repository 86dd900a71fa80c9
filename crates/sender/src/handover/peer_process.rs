//! The connection to the other process of this sender, as the other tasks see it.

use std::cell::RefCell;

use tokio::sync::mpsc;

use super::message::HandoverMessage;

/// The connection to the other process of this sender. Messages are dropped while there is none.
#[derive(Debug, Default)]
pub struct PeerProcess {
    outgoing: RefCell<Option<mpsc::Sender<HandoverMessage>>>,
}

impl PeerProcess {
    /// Whether another process is connected.
    pub fn is_connected(&self) -> bool {
        self.outgoing.borrow().as_ref().is_some_and(|outgoing| !outgoing.is_closed())
    }

    /// Queues a message for the other process; dropped if it is not connected or its queue is full.
    pub fn send(&self, message: HandoverMessage) {
        if let Some(outgoing) = &*self.outgoing.borrow() {
            let _ = outgoing.try_send(message);
        }
    }

    /// Waits until [`PeerProcess::disconnect`] has been called for the connected process, if there is one.
    pub(super) async fn disconnected(&self) {
        loop {
            let Some(outgoing) = self.outgoing.borrow().clone() else { return };
            outgoing.closed().await;
        }
    }

    /// Sends messages to the queue of a new connection from now on.
    pub(super) fn connect(&self, outgoing: mpsc::Sender<HandoverMessage>) {
        *self.outgoing.borrow_mut() = Some(outgoing);
    }

    /// Removes the connection.
    pub(super) fn disconnect(&self) {
        *self.outgoing.borrow_mut() = None;
    }
}
