//! A fake platform for one sender: its discovery service serves the endpoint list and watches of it, and notifications
//! are received at the same address.

mod entry;
mod list;
mod requests;
mod watch_lines;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

pub use entry::Entry;
use list::ListState;

use crate::event_log::{Event, EventLog};
use crate::scenario::{DiscoveryFault, Phase};

/// How long open connections of an address are still served after the service has moved to another address.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// How the service responds to notifications.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationMode {
    /// Status 204.
    Acknowledge,
    /// Status 500.
    Reject,
    /// No response.
    Ignore,
}

/// An address of the service. Dropping this value closes the listener at once, and the open connections after
/// [`OLD_ADDRESS_CLOSE_DELAY`].
#[derive(Debug)]
struct ServedAddress {
    addr: SocketAddr,
    /// Closed when this value is dropped, which ends the task that serves the address.
    _serving: watch::Sender<()>,
}

/// State that all tasks of a service share.
#[derive(Debug)]
struct Shared {
    /// Name of the sender that uses the service.
    sender: String,
    event_log: EventLog,
    state: Mutex<ListState>,
    /// While true, requests for the list or a watch get no response and watches get no lines.
    silent: watch::Sender<bool>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint's phase is being written to the sender. The sender counts as notified from now on.
    fn announce(&self, state: &mut ListState, endpoint: &str, phase: Phase) {
        if state.announce(endpoint, phase) {
            let (sender, endpoint) = (self.sender.clone(), endpoint.to_owned());
            let phase = phase.wire_name().to_owned();
            self.event_log.record(Event::EndpointChanged { sender, endpoint, phase });
        }
    }
}

/// A discovery service that runs until it is dropped.
#[derive(Debug)]
pub struct FakeDiscovery {
    address: Mutex<ServedAddress>,
    shared: Arc<Shared>,
}

impl FakeDiscovery {
    /// Starts a service for a sender, with `entries` as the first endpoint list.
    ///
    /// # Errors
    ///
    /// An error of the sockets.
    pub async fn start(sender: &str, entries: Vec<Entry>, event_log: &EventLog) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            sender: sender.to_owned(),
            event_log: event_log.clone(),
            state: Mutex::new(ListState::new(entries)),
            silent: watch::channel(false).0,
        });
        let address = Mutex::new(serve_new_address(&shared).await?);
        Ok(Self { address, shared })
    }

    /// The address at which the sender reaches the service.
    pub fn addr(&self) -> SocketAddr {
        self.address().addr
    }

    fn address(&self) -> MutexGuard<'_, ServedAddress> {
        self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves the service to a new address and returns it. The old address accepts no connection from now on, and its open
    /// connections are closed after 1.5 s.
    ///
    /// # Errors
    ///
    /// An error of the sockets.
    pub async fn relocate(&self) -> std::io::Result<SocketAddr> {
        let new = serve_new_address(&self.shared).await?;
        let addr = new.addr;
        *self.address() = new;
        Ok(addr)
    }

    /// The complete endpoint list, in the format of the configuration's `known`.
    pub fn list(&self) -> Value {
        self.shared.state().complete_list()
    }

    /// Changes an endpoint's phase and sends the change to the watches. The sender counts as notified when the line of
    /// the change is written.
    pub fn change(&self, endpoint: &str, phase: Phase) {
        self.shared.state().change(endpoint, phase);
    }

    /// Sets how the service responds to notifications from now on.
    pub fn set_notification_mode(&self, mode: NotificationMode) {
        self.shared.state().notification_mode = mode;
    }

    /// Begins or ends a fault, and records the change in the event log.
    pub fn set_fault(&self, fault: DiscoveryFault, on: bool) {
        let set_mode =
            |mode| self.set_notification_mode(if on { mode } else { NotificationMode::Acknowledge });
        let kind = match fault {
            DiscoveryFault::Silent => {
                self.set_silent(on);
                "silent"
            }
            DiscoveryFault::RejectsNotifications => {
                set_mode(NotificationMode::Reject);
                "refuses_notices"
            }
            DiscoveryFault::IgnoresNotifications => {
                set_mode(NotificationMode::Ignore);
                "ignores_notices"
            }
        };
        let (sender, kind) = (self.shared.sender.clone(), kind.to_owned());
        self.shared.event_log.record(Event::DiscoveryFault { sender, kind, on });
    }

    /// Stops or resumes responses to requests for the list or a watch, and lines of open watches.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }
}

/// Serves the list at a new address until the returned value is dropped.
async fn serve_new_address(shared: &Arc<Shared>) -> std::io::Result<ServedAddress> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let (serving, mut dropped) = watch::channel(());
    let shared = shared.clone();
    // The task ends `OLD_ADDRESS_CLOSE_DELAY` after the address is dropped, and the connections' tasks end with it.
    tokio::spawn(async move {
        let mut connection_tasks = JoinSet::new();
        tokio::select! {
            () = requests::serve(shared, &listener, &mut connection_tasks) => {}
            _ = dropped.changed() => {}
        }
        drop(listener);
        tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await;
    });
    Ok(ServedAddress { addr, _serving: serving })
}
