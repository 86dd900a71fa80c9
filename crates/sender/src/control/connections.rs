//! The open connections of the control listener, limited in number.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Maximum number of open connections; beyond it the oldest one is closed.
const MAX_CONNECTIONS: usize = 12;

/// The open connections by number, in the order in which they were accepted.
#[derive(Debug, Default)]
pub(super) struct OpenConnections(RefCell<BTreeMap<u64, Rc<Notify>>>);

/// The entry of an open connection; removed when dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    open: Rc<OpenConnections>,
    number: u64,
    close: Rc<Notify>,
}

impl OpenConnections {
    /// Adds the connection with this number. If there are too many, requests the close of the oldest.
    pub(super) fn add(self: &Rc<Self>, number: u64) -> ConnectionGuard {
        let mut connections = self.0.borrow_mut();
        if connections.len() >= MAX_CONNECTIONS
            && let Some((_, oldest)) = connections.pop_first()
        {
            oldest.notify_one();
        }
        let close = Rc::new(Notify::new());
        connections.insert(number, close.clone());
        ConnectionGuard { open: self.clone(), number, close }
    }
}

impl ConnectionGuard {
    /// Waits until the close of this connection is requested.
    pub(super) async fn close_requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.number);
    }
}
