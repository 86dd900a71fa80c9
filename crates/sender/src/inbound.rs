//! Accepts client connections, responds to their requests, and closes the connections.

mod connection;
mod conversation;
mod rejection;
mod request_body;
mod request_head;
mod requests;
mod response;
mod shutdown;
mod slots;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::interface::Settings;
use rudderspindle_policy::settings::Names;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::accept::{AcceptedConnection, Acceptor};
use crate::admission_state::AdmissionState;
use crate::connection_slots::{ConnectionId, ConnectionSlots};
use crate::event::Input;
use crate::metrics::Metrics;
use connection::ClientConnection;
use slots::OpenConnection;

/// Interval between two checks for overdue connections: those whose next request was not complete in time.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Resource limits that all clients share.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum total size of the bodies of requests without a response, in bytes; a value below [`MAX_BODY`] is raised
    /// to it.
    pub max_open_body_bytes: usize,
}

/// State shared by all client connections.
#[derive(Debug)]
pub struct Inbound {
    settings: Settings,
    names: Names,
    to_engine: mpsc::Sender<Input>,
    /// Number of the next submission, counted over all connections.
    next_submission: Cell<u64>,
    /// One permit for each connection from a client that may still be opened.
    free_slots: Arc<Semaphore>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<ClientConnection>>>,
    slots: RefCell<ConnectionSlots>,
    /// Origin of the times in `slots`.
    started_at: Instant,
    /// One permit for each byte that is not reserved for the body of a request without a response.
    free_body_bytes: Arc<Semaphore>,
    metrics: Rc<Metrics>,
    admission_state: watch::Receiver<AdmissionState>,
    /// Notified whenever a connection has been closed.
    connection_closed: Notify,
}

impl Inbound {
    /// Creates the state without connections. Submissions are sent to `to_engine`.
    pub fn new(
        settings: Settings,
        names: Names,
        limits: Limits,
        metrics: Rc<Metrics>,
        to_engine: mpsc::Sender<Input>,
        admission_state: watch::Receiver<AdmissionState>,
    ) -> Self {
        Self {
            settings,
            names,
            to_engine,
            next_submission: Cell::new(0),
            free_slots: Arc::new(Semaphore::new(limits.max_connections)),
            connections: RefCell::default(),
            slots: RefCell::new(ConnectionSlots::new(limits.max_connections)),
            started_at: Instant::now(),
            free_body_bytes: Arc::new(Semaphore::new(limits.max_open_body_bytes.max(MAX_BODY))),
            metrics,
            admission_state,
            connection_closed: Notify::new(),
        }
    }

    /// Accepts connections until this process hands over to its successor.
    ///
    /// Spawns one task that closes overdue connections until the runtime ends, and for each connection a task that
    /// serves the connection until it is closed. [`Inbound::shut_down`] closes all connections.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().close_overdue_connections());
        let mut admission_state = self.admission_state.clone();
        let mut acceptor = Acceptor::new(listener, "clients");
        for number in 0.. {
            let AcceptedConnection { stream, peer } = tokio::select! {
                biased;
                _ = admission_state.wait_for(|state| *state == AdmissionState::HandingOver) => return,
                accepted = acceptor.accept(|| self.evict_connection()) => accepted,
            };
            let slot = self.acquire_slot().await;
            let connection = Rc::new(ClientConnection::new(ConnectionId(number), stream));
            let open_connection = OpenConnection::register(self.clone(), connection, peer.ip(), slot);
            spawn_local(async move { open_connection.serve().await });
        }
    }

    /// Closes connections whose next request was not complete in time, until the runtime ends. A connection with unread
    /// bytes is checked again at the next interval.
    async fn close_overdue_connections(self: Rc<Self>) {
        loop {
            sleep(OVERDUE_CHECK_INTERVAL).await;
            let now = Instant::now();
            for connection in self.connections.borrow().values() {
                if connection.is_overdue(now) && !connection.has_unread() {
                    connection.request_close();
                }
            }
        }
    }

    /// Time since `started_at`, as `slots` expects it.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

#[cfg(test)]
mod tests;
