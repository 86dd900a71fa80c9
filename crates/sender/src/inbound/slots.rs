//! Assigns a slot to each open client connection, and evicts a connection when all slots are taken.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::Inbound;
use super::connection::ClientConnection;
use crate::connection_slots::ConnectionId;

/// How long to wait for a slot before another connection is evicted.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An open connection and its slot. Dropping it closes the socket and frees the slot.
pub(super) struct OpenConnection {
    inbound: Rc<Inbound>,
    // Dropped before the slot: the descriptor must be closed before the next connection is accepted.
    connection: Rc<ClientConnection>,
    _slot: OwnedSemaphorePermit,
}

impl OpenConnection {
    /// Records a connection accepted from `address`.
    pub(super) fn register(
        inbound: Rc<Inbound>,
        connection: Rc<ClientConnection>,
        address: IpAddr,
        slot: OwnedSemaphorePermit,
    ) -> Self {
        inbound.connections.borrow_mut().insert(connection.id, connection.clone());
        inbound.slots.borrow_mut().opened(connection.id, address, inbound.now());
        inbound.metrics.client_connected();
        Self { inbound, connection, _slot: slot }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn serve(&self) {
        self.inbound.serve(&self.connection).await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.inbound.connections.borrow_mut().remove(&self.connection.id);
        self.inbound.slots.borrow_mut().closed(self.connection.id);
        self.inbound.metrics.client_disconnected();
        self.inbound.connection_closed.notify_one();
    }
}

impl Inbound {
    /// Waits for the slot of a new connection, for which another connection is evicted if necessary: idle connections must
    /// not keep others out.
    pub(super) async fn acquire_slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(slot) = self.free_slots.clone().try_acquire_owned() {
                return slot;
            }
            self.evict_connection();
            // The evicted connection ends at once; if all have a request open, a response is due soon.
            let freed = self.free_slots.clone().acquire_owned();
            if let Ok(Ok(slot)) = timeout(SLOT_RETRY_INTERVAL, freed).await {
                return slot;
            }
        }
    }

    /// Closes a connection that can be evicted, if there is one.
    pub(super) fn evict_connection(&self) {
        let request_arriving = |id| self.is_request_arriving(id);
        let has_unread = |id| self.has_unread(id);
        let evicted = self.slots.borrow_mut().evict(self.now(), request_arriving, has_unread);
        if let Some(connection) = evicted.and_then(|id| self.connection(id)) {
            connection.request_immediate_close();
        }
    }

    /// Closes the longest idle connection if too many are idle after this one's response.
    pub(super) fn close_surplus_idle_connection(&self, responded: ConnectionId) {
        let request_arriving = |id| self.is_request_arriving(id) || self.has_unread(id);
        let surplus = self.slots.borrow_mut().request_finished(responded, self.now(), request_arriving);
        if let Some(connection) = surplus.and_then(|id| self.connection(id)) {
            connection.request_close();
        }
    }

    /// Whether a part of a connection's next request has been read.
    pub(super) fn is_request_arriving(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.is_request_arriving())
    }

    /// Whether bytes received on a connection have not been read; they may begin a request.
    pub(super) fn has_unread(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.has_unread())
    }

    fn connection(&self, id: ConnectionId) -> Option<Rc<ClientConnection>> {
        self.connections.borrow().get(&id).cloned()
    }
}
