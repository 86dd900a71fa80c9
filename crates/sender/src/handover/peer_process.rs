//! Sending messages to the other process of this sender, whether or not one is connected.

use std::cell::{Cell, RefCell};

use tokio::sync::mpsc;

use super::message::HandoverMessage;
use super::version::ProtocolVersion;

/// The connection to the other process of this sender. Messages are dropped while no process is connected.
#[derive(Debug, Default)]
pub struct PeerProcess {
    /// The queue of the connected process; `None` while no process is connected.
    outgoing: RefCell<Option<mpsc::Sender<HandoverMessage>>>,
    /// The version of the protocol with the process that was connected last.
    version: Cell<ProtocolVersion>,
}

impl PeerProcess {
    /// Whether another process is connected.
    pub fn is_connected(&self) -> bool {
        self.outgoing.borrow().as_ref().is_some_and(|outgoing| !outgoing.is_closed())
    }

    /// Whether the process that was connected last answers claims of message ids.
    pub fn answers_claims(&self) -> bool {
        self.version.get() == ProtocolVersion::V2
    }

    /// Whether the connected process reads an endpoint list.
    pub fn reads_endpoint_list(&self) -> bool {
        self.version.get() == ProtocolVersion::V2
    }

    /// Sets the version of the protocol with the process that is about to be connected.
    pub(super) fn set_version(&self, version: ProtocolVersion) {
        self.version.set(version);
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
