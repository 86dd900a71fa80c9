//! Clients: takes their connections in, and decides when each of them ends.

mod client;
mod requests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::interface::*;
use rudderspindle_policy::settings::Names;
use tokio::net::TcpListener;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::accept::Acceptor;
use crate::admission_state::AdmissionState;
use crate::connection_slots::{ClientId, ConnectionSlots};
use crate::event::Input;
use crate::graceful_close;
use crate::metrics::Metrics;
use crate::write_progress::{MAX_BUFFER, Metered};
use client::Client;

/// How often the connections are looked over.
const LOOK: Duration = Duration::from_millis(200);
/// A connection that the listener has is taken in within this time.
const LAST_LOOK: Duration = Duration::from_millis(20);
/// Once the engine is gone a request is refused for so long: one that has begun to come can still come whole.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// Then all are told to go, and have so long to do so.
const LAST_BYTES: Duration = Duration::from_millis(40);
/// Pause after a connection had no place.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What all clients together may take up.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections.
    pub sockets: usize,
    /// Bytes of bodies that have not come whole.
    pub body_bytes: usize,
}

/// What all clients' connections share.
#[derive(Debug)]
pub struct Inbound {
    settings: Settings,
    names: Names,
    host: mpsc::Sender<Input>,
    submissions: Cell<u64>,
    sockets: Arc<Semaphore>,
    /// The open connections, by the order in which they came, and which of them keep their places.
    clients: RefCell<BTreeMap<ClientId, Rc<Client>>>,
    places: RefCell<ConnectionSlots>,
    /// What times in `places` count from.
    origin: Instant,
    /// Bytes that all bodies which have not come whole may still take up.
    bodies: Arc<Semaphore>,
    metrics: Rc<Metrics>,
    door: watch::Receiver<AdmissionState>,
    /// Whenever a connection has ended.
    ended: Notify,
}

impl Inbound {
    pub fn new(
        settings: Settings,
        names: Names,
        limits: Limits,
        metrics: Rc<Metrics>,
        host: mpsc::Sender<Input>,
        door: watch::Receiver<AdmissionState>,
    ) -> Self {
        Self {
            settings,
            names,
            host,
            submissions: Cell::new(0),
            sockets: Arc::new(Semaphore::new(limits.sockets)),
            clients: RefCell::default(),
            places: RefCell::new(ConnectionSlots::new(limits.sockets)),
            origin: Instant::now(),
            bodies: Arc::new(Semaphore::new(limits.body_bytes.max(MAX_BODY))),
            metrics,
            door,
            ended: Notify::new(),
        }
    }

    /// Accepts connections, until another process does it alone.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().look_after_clients());
        let mut door = self.door.clone();
        let mut acceptor = Acceptor::new(listener, "clients");
        for number in 0.. {
            let (stream, peer) = tokio::select! {
                biased;
                _ = door.wait_for(|door| *door == AdmissionState::HandingOver) => return,
                accepted = acceptor.next(|| self.make_room()) => accepted,
            };
            let permit = self.place().await;
            let client = Rc::new(Client::new(number, stream));
            self.clients.borrow_mut().insert(number, client.clone());
            self.places.borrow_mut().connected(number, peer.ip(), self.now());
            self.metrics.client_connected();
            let this = self.clone();
            spawn_local(async move {
                this.serve(&client).await;
                this.clients.borrow_mut().remove(&number);
                this.places.borrow_mut().left(number);
                this.metrics.client_disconnected();
                drop((client, permit));
                this.ended.notify_one();
            });
        }
    }

    /// A place for one more connection. Accepting never stops: clients that keep their connections without a
    /// request, or say nothing at all, would shut out all others.
    async fn place(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
                return permit;
            }
            self.make_room();
            // Its task ends at once; or all have a request open, which the host answers soon.
            let freed = self.sockets.clone().acquire_owned();
            if let Ok(Ok(permit)) = timeout(ACCEPT_PAUSE, freed).await {
                return permit;
            }
        }
    }

    /// One connection less, if there is one that may go.
    fn make_room(&self) {
        let coming = |id| self.coming(id);
        let victim = self.places.borrow_mut().make_room(self.now(), coming, |id| self.has_unread(id));
        if let Some(client) = victim.and_then(|id| self.client(id)) {
            client.close_now();
        }
    }

    /// Ends every connection before the process does, in less than 200 ms. The engine is gone: what is still asked is
    /// refused.
    pub async fn end(&self) {
        // One may be on its way from the listener.
        sleep(LAST_LOOK).await;
        let _ = timeout(LAST_ANSWERS, self.all_ended()).await;
        self.clients.borrow().values().filter(|c| !c.has_unread()).for_each(|c| c.close());
        let _ = timeout(LAST_BYTES, self.all_ended()).await;
        self.abandon();
    }

    /// For those that still do not go.
    fn abandon(&self) {
        self.clients.borrow().values().for_each(|c| graceful_close::abandon(&c.socket));
    }

    async fn all_ended(&self) {
        while !self.clients.borrow().is_empty() {
            self.ended.notified().await;
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Whether a client's next request has begun to come.
    fn coming(&self, id: ClientId) -> bool {
        self.client(id).is_some_and(|client| client.owed.write_progress.heard().is_some())
    }

    /// Whether bytes of a client have come that were not read: a request may be among them.
    fn has_unread(&self, id: ClientId) -> bool {
        self.client(id).is_some_and(|client| client.has_unread())
    }

    fn client(&self, id: ClientId) -> Option<Rc<Client>> {
        self.clients.borrow().get(&id).cloned()
    }

    /// Closes connections whose time is up.
    async fn look_after_clients(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            self.clients
                .borrow()
                .values()
                .filter(|c| c.overdue(now) && !c.has_unread())
                .for_each(|c| c.close());
        }
    }

    async fn serve(&self, client: &Client) {
        self.converse(client).await;
        // The client never heard that its message is taken on, and may hand it in elsewhere: drop it.
        if let Some(number) = client.owed.unheard() {
            let _ = self.host.send(Input::Withdrawn(number)).await;
        }
        self.places.borrow_mut().leaves(client.id, self.now());
        graceful_close::finish(&client.socket, client.hurry.notified()).await;
    }

    /// Answers requests until the connection has to end.
    async fn converse(&self, client: &Client) {
        let mut door = self.door.clone();
        door.mark_changed();
        let io = Metered::new(client.socket.clone(), client.owed.write_progress.clone());
        let service = service_fn(|request| self.answer(request, client));
        let mut connection =
            pin!(http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                // First: a request that is read once the connection was chosen to go would be lost with it.
                () = client.closing.notified() => return,
                // How it ended shows in what is still owed.
                _ = connection.as_mut() => return,
                // A request that is coming is heard first; its answer ends the connection.
                Ok(()) = door.changed() => {
                    let open = *door.borrow_and_update() == AdmissionState::Accepting;
                    if !open && client.at_rest() && !client.has_unread() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
