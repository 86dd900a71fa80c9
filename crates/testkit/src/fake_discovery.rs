//! A fake discovery service of one sender: serves the endpoint list and watches, and receives notifications.

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

/// How long the connections of an address stay open after the service has moved away.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// How notifications are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationMode {
    /// With 204.
    Acknowledge,
    /// With 500.
    Reject,
    /// Not at all.
    Ignore,
}

/// An address of the service. After it is dropped it accepts no connection, and the open ones are closed after
/// [`OLD_ADDRESS_CLOSE_DELAY`].
#[derive(Debug)]
struct ServedAddress {
    addr: SocketAddr,
    _serving: watch::Sender<()>,
}

/// What all tasks of a service share.
#[derive(Debug)]
struct Shared {
    /// Name of the sender.
    sender: String,
    event_log: EventLog,
    state: Mutex<ListState>,
    /// While it is true, requests are not answered and changes not announced.
    silent: watch::Sender<bool>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a phase is being written to the sender, which counts as notified from now on.
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
    /// Starts a service for a sender with a first list.
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

    /// The address at which the sender reaches it.
    pub fn addr(&self) -> SocketAddr {
        self.address().addr
    }

    fn address(&self) -> MutexGuard<'_, ServedAddress> {
        self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves to another address, which it returns. The old one accepts no connection from now on, and closes the open
    /// ones after 1.5 s.
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

    /// The complete list, in the form of the configuration's `known`.
    pub fn list(&self) -> Value {
        self.shared.state().whole()
    }

    /// Changes an endpoint's phase and sends the change to the watches. The sender counts as notified when the line is
    /// written.
    pub fn change(&self, endpoint: &str, phase: Phase) {
        self.shared.state().change(endpoint, phase);
    }

    /// Sets how notifications are answered from now on.
    pub fn set_notification_mode(&self, mode: NotificationMode) {
        self.shared.state().notification_mode = mode;
    }

    /// Begins or ends a fault, and records that.
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

    /// Stops or resumes responses and announcements.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }
}

/// Serves the list at a new address until that is dropped.
async fn serve_new_address(shared: &Arc<Shared>) -> std::io::Result<ServedAddress> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let (serving, mut dropped) = watch::channel(());
    let shared = shared.clone();
    // Ends some time after the address is dropped, and with it the connections' tasks.
    tokio::spawn(async move {
        let mut open = JoinSet::new();
        tokio::select! {
            () = requests::serve(shared, &listener, &mut open) => {}
            _ = dropped.changed() => {}
        }
        drop(listener);
        tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await;
    });
    Ok(ServedAddress { addr, _serving: serving })
}
