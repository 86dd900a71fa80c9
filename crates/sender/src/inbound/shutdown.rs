//! Closes all client connections before the process exits, without resetting any.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Inbound;
use crate::graceful_close;

/// How long after the engine has stopped connections in the listener's queue are still accepted.
pub(super) const LAST_ACCEPT_GRACE: Duration = Duration::from_millis(20);
/// How long clients may take to complete requests that are being received. These requests are refused, because the
/// engine has stopped.
pub(super) const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long connections may take to close after [`LAST_RESPONSE_TIMEOUT`].
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_millis(40);

impl Inbound {
    /// Closes all connections in less than 200 ms, before the process exits. Requests are refused because the engine
    /// has stopped.
    pub async fn shut_down(&self) {
        sleep(LAST_ACCEPT_GRACE).await;
        let _ = timeout(LAST_RESPONSE_TIMEOUT, self.all_closed()).await;
        for connection in self.connections.borrow().values() {
            if !connection.has_unread() {
                connection.request_close();
            }
        }
        let _ = timeout(LAST_CLOSE_TIMEOUT, self.all_closed()).await;
        self.close_all_without_waiting();
    }

    /// Closes the connections that are still open without waiting for their clients, so that dropping the sockets sends
    /// no reset.
    pub(super) fn close_all_without_waiting(&self) {
        for connection in self.connections.borrow().values() {
            graceful_close::close_without_waiting(&connection.socket);
        }
    }

    /// Resolves once no connection is open.
    async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }
}
