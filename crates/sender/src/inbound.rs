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
use rudderspindle_decide::interface::*;
use rudderspindle_decide::settings::Names;
use rudderspindle_journal::MAX_BODY;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::door::Door;
use crate::event::Input;
use crate::figures::Figures;
use crate::meter::{MAX_BUFFER, Metered};
use crate::places::{ClientId, Places};
use client::Client;

/// How often the connections are looked over.
const LOOK: Duration = Duration::from_millis(200);
/// Pause after a connection could not be accepted or had no place.
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
    hand_ins: Cell<u64>,
    sockets: Arc<Semaphore>,
    /// The open connections, by the order in which they came, and which of them keep their places.
    clients: RefCell<BTreeMap<ClientId, Rc<Client>>>,
    places: RefCell<Places>,
    /// What times in `places` count from.
    origin: Instant,
    /// Bytes that all bodies which have not come whole may still take up.
    bodies: Arc<Semaphore>,
    figures: Rc<Figures>,
    door: watch::Receiver<Door>,
}

impl Inbound {
    pub fn new(
        settings: Settings,
        names: Names,
        limits: Limits,
        figures: Rc<Figures>,
        host: mpsc::Sender<Input>,
        door: watch::Receiver<Door>,
    ) -> Self {
        Self {
            settings,
            names,
            host,
            hand_ins: Cell::new(0),
            sockets: Arc::new(Semaphore::new(limits.sockets)),
            clients: RefCell::default(),
            places: RefCell::new(Places::new(limits.sockets)),
            origin: Instant::now(),
            bodies: Arc::new(Semaphore::new(limits.body_bytes.max(MAX_BODY))),
            figures,
            door,
        }
    }

    /// Accepts connections, until another process does it alone.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().look_after_clients());
        let mut door = self.door.clone();
        for number in 0.. {
            let accepted = tokio::select! {
                biased;
                _ = door.wait_for(|door| *door == Door::Leaving) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let permit = self.place().await;
                    let client = Rc::new(Client::new(number));
                    self.clients.borrow_mut().insert(number, client.clone());
                    self.places.borrow_mut().connected(number, peer.ip(), self.now());
                    self.figures.client(true);
                    let this = self.clone();
                    spawn_local(async move {
                        this.serve(stream, &client).await;
                        this.clients.borrow_mut().remove(&number);
                        this.places.borrow_mut().left(number);
                        this.figures.client(false);
                        drop(permit);
                    });
                }
                Err(error) => {
                    tracing::warn!("clients: a connection could not be accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// A place for one more connection. Accepting never stops: clients that keep their connections without a
    /// request, or say nothing at all, would shut out all others.
    async fn place(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
                return permit;
            }
            let victim = self.places.borrow_mut().make_room(self.now(), |id| self.coming(id));
            self.close(victim);
            // Its task ends at once; or all have a request open, which the host answers soon.
            let freed = self.sockets.clone().acquire_owned();
            if let Ok(Ok(permit)) = timeout(ACCEPT_PAUSE, freed).await {
                return permit;
            }
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Whether a client's next request has begun to come.
    fn coming(&self, id: ClientId) -> bool {
        self.clients.borrow().get(&id).is_some_and(|client| client.owed.meter.heard().is_some())
    }

    fn close(&self, id: Option<ClientId>) {
        if let Some(client) = id.and_then(|id| self.clients.borrow().get(&id).cloned()) {
            client.close();
        }
    }

    /// Closes connections whose time is up.
    async fn look_after_clients(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            self.clients.borrow().values().filter(|c| c.overdue(now)).for_each(|c| c.close());
        }
    }

    async fn serve(&self, stream: TcpStream, client: &Client) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut door = self.door.clone();
        door.mark_changed();
        let io = Metered::new(Rc::new(RefCell::new(stream)), client.owed.meter.clone());
        let service = service_fn(|request| self.answer(request, client));
        let mut connection =
            pin!(http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                // First: a request that is read once the connection was chosen to go would be lost with it.
                () = client.closing.notified() => break,
                // How it ended shows in what is still owed.
                _ = connection.as_mut() => break,
                // A request that is coming is heard first; its answer ends the connection.
                Ok(()) = door.changed() => if *door.borrow_and_update() != Door::Open && client.at_rest() {
                    connection.as_mut().graceful_shutdown();
                },
            }
        }
        // The client never heard that its message is taken on, and may hand it in elsewhere: drop it.
        if let Some(number) = client.owed.unheard() {
            let _ = self.host.send(Input::Withdrawn(number)).await;
        }
    }
}

#[cfg(test)]
mod tests;
