//! Assigns a slot to each open client connection, and evicts a connection if all slots are taken.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::Inbound;
use super::connection::ClientConnection;
use crate::connection_slots::ConnectionId;

/// How long to wait for the slot of an evicted connection before another connection is evicted.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An open connection and its slot. Dropping it closes the socket and frees the slot.
pub(super) struct OpenConnection {
    inbound: Rc<Inbound>,
    // Declared before the slot so that it is dropped first: the descriptor must be closed before the next connection is
    // accepted.
    connection: Rc<ClientConnection>,
    _slot: OwnedSemaphorePermit,
}

impl OpenConnection {
    /// Registers a connection that was accepted from `address`.
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
    /// Waits for the slot of a new connection. If none is free, another connection is evicted, because idle connections
    /// must not prevent new ones.
    pub(super) async fn acquire_slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(slot) = self.free_slots.clone().try_acquire_owned() {
                return slot;
            }
            self.evict_connection();
            // An evicted connection is closed at once. If none was evicted, all connections have a request open, and
            // the first response is expected soon.
            let freed_slot = self.free_slots.clone().acquire_owned();
            if let Ok(Ok(slot)) = timeout(SLOT_RETRY_INTERVAL, freed_slot).await {
                return slot;
            }
        }
    }

    /// Evicts one connection, unless all have a request open.
    pub(super) fn evict_connection(&self) {
        let request_arriving = |id| self.is_request_arriving(id);
        let has_unread = |id| self.has_unread(id);
        let evicted = self.slots.borrow_mut().evict(self.now(), request_arriving, has_unread);
        if let Some(connection) = evicted.and_then(|id| self.connection(id)) {
            connection.request_immediate_close();
        }
    }

    /// Closes the longest idle connection if too many connections are idle after the response on connection
    /// `responded`.
    pub(super) fn close_surplus_idle_connection(&self, responded: ConnectionId) {
        let request_arriving = |id| self.is_request_arriving(id) || self.has_unread(id);
        let surplus = self.slots.borrow_mut().request_finished(responded, self.now(), request_arriving);
        if let Some(connection) = surplus.and_then(|id| self.connection(id)) {
            connection.request_close();
        }
    }

    /// Whether part of a connection's next request has been read.
    pub(super) fn is_request_arriving(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.is_request_arriving())
    }

    /// Whether bytes received on a connection have not been read; they may be the beginning of a request.
    pub(super) fn has_unread(&self, id: ConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.has_unread())
    }

    fn connection(&self, id: ConnectionId) -> Option<Rc<ClientConnection>> {
        self.connections.borrow().get(&id).cloned()
    }
}
