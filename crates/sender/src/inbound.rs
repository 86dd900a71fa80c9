//! Clients: takes messages in, and answers what the host says.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use rudderspindle_decide::interface::*;
use rudderspindle_decide::settings::Names;
use rudderspindle_journal::{MAX_BODY, Txn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::door::Door;
use crate::event::{Answer, IDEMPOTENCY_KEY, Input, Submission};
use crate::figures::{End, Figures};
use crate::meter::{MAX_BUFFER, Meter, Metered};
use crate::places::{ClientId, Places};

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_ORG: HeaderName = HeaderName::from_static("x-org");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const X_ROUTE_TO: HeaderName = HeaderName::from_static("x-route-to");

const READY: &str = "/-/ready";
/// An id or a key is no longer than this.
const MAX_NAME: usize = 256;
/// So long after it connected a client's first request must have come, whole.
const FIRST_REQUEST: Duration = Duration::from_millis(2_300);
/// A later request must have come whole so long after its first byte. Bytes that trickle do not extend it.
const NEXT_REQUEST: Duration = Duration::from_millis(2_300);
/// A connection with no request open is kept so long for the next one, while others do not need its place.
const KEPT: Duration = Duration::from_secs(5);
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

    async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Client,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut answer = match (request.method(), request.uri().path()) {
            // A process that leaves clients to its successor is one with it: both are the sender, which is ready.
            (&Method::GET, READY) if matches!(*self.door.borrow(), Door::Standby | Door::Stopping) => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
            (&Method::GET, READY) => plain(StatusCode::OK, "ready"),
            (_, READY) => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only"),
            (&Method::POST, _) => match self.submit(request, client).await {
                Ok(answer) | Err(answer) => answer,
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "POST only"),
        };
        if answer.status().is_client_error() || *self.door.borrow() != Door::Open {
            // What follows on the connection of a client that cannot be understood may be the rest of a body.
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.rest();
        let surplus = self.places.borrow_mut().answered(client.id, self.now(), |id| self.coming(id));
        self.close(surplus);
        Ok(answer)
    }

    /// Hands a message to the host and waits for what it says; `Err` is a request that cannot be taken.
    async fn submit(&self, request: Request<Incoming>, client: &Client) -> Result<Reply, Reply> {
        let bad = |what| plain(StatusCode::BAD_REQUEST, what);
        let owed = &client.owed;
        let (head, body) = request.into_parts();
        if head.headers.contains_key(TRANSFER_ENCODING) {
            // hyper lets it override a Content-Length and reads on behind the last chunk: another request may
            // be hidden in what the length says is the body. No client of ours sends it.
            return Err(bad("Transfer-Encoding"));
        }
        let length = body.size_hint().lower();
        if length > MAX_BODY as u64 {
            return Err(too_large());
        }
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.names.classes.iter().position(|name| name == class);
        let class = class.ok_or_else(|| plain(StatusCode::NOT_FOUND, "unknown class"))?;
        let txn = name(&head.headers, &X_TXN).ok_or_else(|| bad("bad X-Txn"))?;
        let tenant = match name(&head.headers, &X_ORG) {
            Some(tenant) => self.names.tenants.iter().position(|name| name == tenant),
            None => self.names.tenants.is_empty().then_some(0),
        };
        let tenant = tenant.ok_or_else(|| bad("unknown tenant"))?;
        let destination = name(&head.headers, &X_ROUTE_TO).and_then(destination);
        let destination = destination.ok_or_else(|| bad("bad X-Route-To"))?;
        let left = name(&head.headers, &X_REMAINING).and_then(|text| text.trim().parse::<f64>().ok());
        let left = left.filter(|left| left.is_finite() && *left >= 0.0);
        let left = left.ok_or_else(|| bad("bad X-Remaining"))?;
        let key = head.headers.get(IDEMPOTENCY_KEY);
        let keyed = matches!(self.settings.classes[class].effect, Effect::Keyed { .. });
        if key.is_some_and(|key| key.len() > MAX_NAME) || (keyed && key.is_none_or(HeaderValue::is_empty)) {
            return Err(bad("bad Idempotency-Key"));
        }
        let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
        let txn = Txn::from(txn);
        let body = {
            let Ok(_room) = self.bodies.try_acquire_many(length as u32) else {
                return Ok(self.turn_away(class));
            };
            match timeout_at(client.due(), Limited::new(body, MAX_BODY).collect()).await {
                // A copy: a body that came as one piece would keep the connection's whole buffer in memory.
                Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
                Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
                Ok(Err(_)) => return Err(bad("unfinished body")),
                Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "unfinished body")),
            }
        };
        client.asked.set(true);
        self.places.borrow_mut().asks(client.id, self.now());
        // A message's time counts from its last byte. Its class bounds what a client can ask for.
        let left = left.min(self.settings.classes[class].deadline / 1_000.0);
        let ends_at = Instant::now() + Duration::from_secs_f64(left);
        let number = self.hand_ins.get();
        self.hand_ins.set(number + 1);
        let (answer, answered) = oneshot::channel();
        let submission = Submission { number, txn, class, tenant, destination, key, body, ends_at, answer };
        if self.host.try_send(Input::HandedIn(submission)).is_err() {
            return Ok(self.turn_away(class));
        }
        owed.hand_in(number);
        let answer = answered.await.unwrap_or(Answer::Refused(0.0));
        if answer == Answer::Accepted {
            owed.accept();
            return Ok(plain(StatusCode::ACCEPTED, "taken on"));
        }
        owed.number.set(None);
        Ok(match answer {
            Answer::Accepted | Answer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            Answer::Refused(again) => self.refusal(again),
            Answer::UnknownDestination => plain(StatusCode::NOT_FOUND, "unknown destination"),
        })
    }

    /// Refused before the engine has heard of it.
    fn turn_away(&self, class: usize) -> Reply {
        self.figures.ended(class, End::Refused);
        self.refusal(0.0)
    }

    fn refusal(&self, again: Millis) -> Reply {
        let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let seconds = HeaderValue::from_str(&format!("{:.3}", again / 1_000.0));
        if let (true, Ok(seconds)) = (self.settings.retry_after && again > 0.0, seconds) {
            reply.headers_mut().insert(RETRY_AFTER, seconds);
        }
        reply
    }
}

type Reply = Response<Full<Bytes>>;

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    reply
}

fn too_large() -> Reply {
    plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
}

/// A header's text, if it is there and of a sensible length.
fn name<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Option<&'a str> {
    headers.get(header)?.to_str().ok().filter(|text| (1..=MAX_NAME).contains(&text.len()))
}

/// The destination in `dest=7`, alone or among other pairs.
fn destination(text: &str) -> Option<DestinationId> {
    let pair = text.split([',', ';']).filter_map(|pair| pair.split_once('='));
    let value = pair.filter(|(name, _)| name.trim() == "dest").map(|(_, value)| value).next()?;
    value.trim().parse().ok().map(DestinationId)
}

/// A client's connection.
#[derive(Debug)]
struct Client {
    id: ClientId,
    /// Since when it has had no request open, and whether it ever had one.
    rests_since: Cell<Instant>,
    known: Cell<bool>,
    /// Whether a request has come whole and is not answered.
    asked: Cell<bool>,
    closing: Notify,
    owed: OwedAnswer,
}

impl Client {
    fn new(id: ClientId) -> Self {
        Self {
            id,
            rests_since: Cell::new(Instant::now()),
            known: Cell::new(false),
            asked: Cell::new(false),
            closing: Notify::new(),
            owed: OwedAnswer::default(),
        }
    }

    fn close(&self) {
        self.closing.notify_one();
    }

    /// A request has its answer; the next one may come.
    fn rest(&self) {
        self.asked.set(false);
        self.known.set(true);
        self.rests_since.set(Instant::now());
        self.owed.meter.listen();
    }

    /// When the request that is coming, or that may come, must be there.
    fn due(&self) -> Instant {
        match self.owed.meter.heard() {
            _ if !self.known.get() => self.rests_since.get() + FIRST_REQUEST,
            Some(at) => at + NEXT_REQUEST,
            None => self.rests_since.get() + KEPT,
        }
    }

    /// Whether it has had an answer, and nothing of a further request has come.
    fn at_rest(&self) -> bool {
        self.known.get() && !self.asked.get() && self.owed.meter.heard().is_none()
    }

    fn overdue(&self, now: Instant) -> bool {
        !self.asked.get() && self.due() <= now
    }
}

/// The last hand-in of a connection that the host has, and whether its 202 was written.
#[derive(Debug, Default)]
struct OwedAnswer {
    number: Cell<Option<u64>>,
    /// Whether the meter counts the 202.
    ready: Cell<bool>,
    meter: Rc<Meter>,
}

impl OwedAnswer {
    fn hand_in(&self, number: u64) {
        self.ready.set(false);
        self.number.set(Some(number));
    }

    fn accept(&self) {
        self.meter.reset();
        self.ready.set(true);
    }

    /// The hand-in whose client has heard nothing.
    fn unheard(&self) -> Option<u64> {
        self.number.get().filter(|_| !(self.ready.get() && self.meter.started()))
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    const REQUEST: &[u8] = b"POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: m1\r\nX-Remaining: 5\r\n\
        X-Route-To: dest=7\r\nContent-Length: 4\r\n\r\ntext";

    /// A client, and the host's end of the queue.
    async fn set_up() -> (TcpStream, mpsc::Receiver<Input>, watch::Sender<Door>) {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
            "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
        let settings = rudderspindle_decide::settings::read(&json).expect("settings");
        let names = rudderspindle_decide::settings::names(&json).expect("names");
        let (to_engine, inputs) = mpsc::channel(16);
        let (turn, door) = watch::channel(Door::Open);
        let figures = Rc::new(Figures::new(&names.classes));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a client");
        let limits = Limits { sockets: 8, body_bytes: MAX_BODY };
        spawn_local(Rc::new(Inbound::new(settings, names, limits, figures, to_engine, door)).run(listener));
        (client, inputs, turn)
    }

    async fn next(inputs: &mut mpsc::Receiver<Input>) -> Input {
        let input = timeout(Duration::from_secs(20), inputs.recv()).await;
        input.expect("in time").expect("an input")
    }

    #[tokio::test]
    async fn a_client_gone_before_its_answer_was_written_withdraws_its_message() {
        let test = async {
            let (mut client, mut inputs, _stop) = set_up().await;
            client.write_all(REQUEST).await.expect("writable");
            let Input::HandedIn(submission) = next(&mut inputs).await else { panic!("not handed in") };
            drop(client);
            let Input::Withdrawn(number) = next(&mut inputs).await else { panic!("not withdrawn") };
            assert_eq!(number, submission.number);
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    #[tokio::test]
    async fn a_client_that_leaves_after_its_answer_withdraws_nothing() {
        let test = async {
            let (mut client, mut inputs, _stop) = set_up().await;
            client.write_all(REQUEST).await.expect("writable");
            let Input::HandedIn(submission) = next(&mut inputs).await else { panic!("not handed in") };
            submission.answer.send(Answer::Accepted).expect("it waits");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 202");
            drop(client);
            let next = timeout(Duration::from_millis(200), inputs.recv()).await;
            assert!(next.is_err(), "{next:?}");
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
