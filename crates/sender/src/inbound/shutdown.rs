//! Closes all client connections before the process ends, without a reset.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Inbound;
use crate::graceful_close;

/// How long connections in the listener's queue are still accepted.
pub(super) const LAST_ACCEPT_GRACE: Duration = Duration::from_millis(20);
/// How long requests that are being received may still be completed; they are refused.
pub(super) const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the connections may take to close after that.
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_millis(40);

impl Inbound {
    /// Closes all connections before the process ends, in less than 200 ms. The engine has stopped, so requests are
    /// refused.
    pub async fn shut_down(&self) {
        sleep(LAST_ACCEPT_GRACE).await;
        let _ = timeout(LAST_RESPONSE_TIMEOUT, self.all_closed()).await;
        for connection in self.connections.borrow().values() {
            if !connection.has_unread() {
                connection.request_close();
            }
        }
        let _ = timeout(LAST_CLOSE_TIMEOUT, self.all_closed()).await;
        self.abandon_all();
    }

    /// Shuts down the connections that are still open, so that dropping them sends no reset.
    pub(super) fn abandon_all(&self) {
        for connection in self.connections.borrow().values() {
            graceful_close::abandon(&connection.socket);
        }
    }

    async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }
}
