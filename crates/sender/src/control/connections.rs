//! The open connections of the control listener, and their maximum number.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Maximum number of open connections; if another one is accepted, the oldest is closed.
const MAX_CONNECTIONS: usize = 12;

/// The open connections, by their numbers in the order of acceptance.
#[derive(Debug, Default)]
pub(super) struct OpenConnections(RefCell<BTreeMap<u64, Rc<Notify>>>);

/// Registration of an open connection; dropping it removes the connection from [`OpenConnections`].
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    open_connections: Rc<OpenConnections>,
    number: u64,
    /// Notified when the connection is to be closed.
    close_request: Rc<Notify>,
}

impl OpenConnections {
    /// Adds the connection with this number. If [`MAX_CONNECTIONS`] are open already, requests that the oldest is
    /// closed.
    pub(super) fn add(self: &Rc<Self>, number: u64) -> ConnectionGuard {
        let mut connections = self.0.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS
            && let Some((_, oldest)) = connections.pop_first()
        {
            oldest.notify_one();
        }
        let close_request = Rc::new(Notify::new());
        connections.insert(number, close_request.clone());
        ConnectionGuard { open_connections: self.clone(), number, close_request }
    }
}

impl ConnectionGuard {
    /// Waits until this connection has to be closed.
    pub(super) async fn close_requested(&self) {
        self.close_request.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.0.borrow_mut().remove(&self.number);
    }
}
