//! Calls to receivers: the routes as last told, the pool of kept connections, calls and probes.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use rudderspindle_decide::interface::*;
use rudderspindle_journal::{MAX_BODY, Txn};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::event::{Call, IDEMPOTENCY_KEY, Input, Report, STORY};
use crate::figures::Figures;
use crate::handover::{Neighbour, Word};
use crate::meter::{MAX_BUFFER, Meter, Metered};

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const X_BACKOFF_MS: HeaderName = HeaderName::from_static("x-backoff-ms");
const X_EGRESS_FULL: HeaderName = HeaderName::from_static("x-egress-full");

/// An idle connection is given up so long before the receiver closes it, as its clock started earlier than
/// ours: when it wrote its answer.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// How long the rest of an answer may take before its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(500);
/// ...and the rest of its head: it is written in one go.
const HEAD_TIME: Duration = Duration::from_millis(500);
/// A receiver that asks for a longer wait is not believed: it would be shut out by one bad figure.
pub const LONGEST_WAIT: Millis = 60_000.0;
const SWEEP: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A receiver as the list tells of it.
#[derive(Debug)]
pub struct Route {
    pub addr: Option<SocketAddr>,
    pub receiver: Rc<str>,
    pub zone: Rc<str>,
    pub destination: DestinationId,
    /// Whether it has waits of its own, apart from its destination's.
    pub apart: bool,
    pub listing: Listing,
}

/// Everything that calls share.
#[derive(Debug)]
pub struct Outbound {
    routes: RefCell<HashMap<RouteId, Route>>,
    /// Until when nothing may be sent.
    waits: RefCell<HashMap<Waits, Instant>>,
    idle: RefCell<HashMap<RouteId, Vec<Connection>>>,
    sockets: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_time: Duration,
    figures: Rc<Figures>,
    /// Hears of every wait that is told.
    neighbour: Rc<Neighbour>,
    host: mpsc::Sender<Input>,
}

impl Outbound {
    pub fn new(
        settings: &Settings,
        sockets: usize,
        figures: Rc<Figures>,
        neighbour: Rc<Neighbour>,
        host: mpsc::Sender<Input>,
    ) -> Self {
        let idle_close = Duration::from_secs_f64(settings.idle_close.max(0.0) / 1_000.0);
        Self {
            routes: RefCell::default(),
            waits: RefCell::default(),
            idle: RefCell::default(),
            sockets: Arc::new(Semaphore::new(sockets)),
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout.max(1.0) / 1_000.0),
            idle_time: idle_close.saturating_sub(IDLE_MARGIN).max(idle_close / 2),
            figures,
            neighbour,
            host,
        }
    }

    /// Takes in what the list says of a route. Connections that it makes useless are closed.
    pub fn list(&self, id: RouteId, route: Route) {
        let keeps = route.listing == Listing::Ready
            && self.routes.borrow().get(&id).is_some_and(|r| r.addr == route.addr);
        if !keeps {
            self.idle.borrow_mut().remove(&id);
        }
        if route.listing == Listing::Gone {
            // Receivers come and go all day under ever new names.
            self.routes.borrow_mut().remove(&id);
        } else {
            self.routes.borrow_mut().insert(id, route);
        }
    }

    /// A whole list has come: what it does not name is gone.
    pub fn keep_only(&self, listed: &HashSet<RouteId>) {
        self.routes.borrow_mut().retain(|id, _| listed.contains(id));
        self.idle.borrow_mut().retain(|id, _| listed.contains(id));
    }

    /// A receiver's name and zone.
    pub fn place(&self, id: RouteId) -> Option<(Rc<str>, Rc<str>)> {
        self.routes.borrow().get(&id).map(|r| (r.receiver.clone(), r.zone.clone()))
    }

    /// Closes connections that have stood idle for too long, for good.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, idle| {
                idle.retain(|c| c.usable(now, self.idle_time));
                !idle.is_empty()
            });
            self.waits.borrow_mut().retain(|_, until| *until > now);
        }
    }

    /// Starts a call; what comes of it is told to the host.
    pub fn start(self: &Rc<Self>, call: Call) -> AbortHandle {
        let this = self.clone();
        let task = async move {
            let (id, attempt) = (call.id, call.attempt);
            let (report, rest) = this.call(&call).await;
            let _ = this.host.send(Input::Outcome { id, attempt, report }).await;
            this.finish(call.route, rest).await;
        };
        spawn_local(task).abort_handle()
    }

    /// Starts a probe; what comes of it is told to the host.
    pub fn probe(self: &Rc<Self>, route: RouteId) {
        let this = self.clone();
        spawn_local(async move {
            let until = Instant::now() + PROBE_TIMEOUT;
            let request =
                |host: HeaderValue| Request::get("/-/healthy").header(HOST, host).body(Full::default());
            let (report, rest) = this.exchange(route, until, until, None, request).await;
            let _ = this.host.send(Input::Probed { route, outcome: report.outcome }).await;
            this.finish(route, rest).await;
        });
    }

    async fn call(&self, call: &Call) -> (Report, Option<Rest>) {
        let request = |host: HeaderValue| {
            let left = call.until.saturating_duration_since(Instant::now()).as_secs_f64();
            let mut request = Request::post("/v1/messages")
                .header(HOST, host)
                .header(X_TXN, &*call.txn)
                .header(X_REMAINING, format!("{left:.3}"));
            if let Some(key) = &call.key {
                request = request.header(IDEMPOTENCY_KEY, &**key);
            }
            request.body(Full::new(call.body.clone()))
        };
        self.exchange(call.route, call.until, call.latest, Some(&call.txn), request).await
    }

    /// One request, whose last byte is out by `latest` or never, and the head of its answer; `message` is the
    /// one that a call is with, none for a probe.
    async fn exchange(
        &self,
        route: RouteId,
        until: Instant,
        latest: Instant,
        message: Option<&Txn>,
        request: impl Fn(HeaderValue) -> hyper::http::Result<Request<Full<Bytes>>>,
    ) -> (Report, Option<Rest>) {
        loop {
            let known = self.routes.borrow().get(&route).and_then(|r| Some((r.addr?, r.waits(route))));
            let Some((addr, waits)) = known else { return (Outcome::Moot.into(), None) };
            let (mut connection, kept) = match self.kept(route) {
                Some(connection) => (connection, true),
                None => match self.connect(addr, until.min(latest)).await {
                    Ok(connection) => (connection, false),
                    // That it had so little time says nothing of the receiver.
                    Err(_) if Instant::now() >= latest => return (Outcome::Moot.into(), None),
                    Err(outcome) => return (outcome.into(), None),
                },
            };
            // A drain or a wait may have been told since the decision, or a key's window may be over, above all
            // while a connection came up.
            if !self.may_send(route) || Instant::now() >= latest {
                self.keep(route, connection);
                return (Outcome::Moot.into(), None);
            }
            let host = HeaderValue::from_str(&addr.to_string());
            let Some(request) = host.ok().and_then(|host| request(host).ok()) else {
                self.keep(route, connection);
                return (Outcome::Moot.into(), None);
            };
            let meter = connection.meter.clone();
            meter.reset();
            if message.is_some() {
                meter.count_in(self.figures.clone());
            }
            let answer = tokio::select! {
                biased;
                answer = connection.sender.send_request(request) => answer.map_err(|_| Failure::Broken),
                () = meter.head_without_end(HEAD_TIME) => Err(Failure::Broken),
                () = sleep_until(until) => Err(Failure::Silent),
                () = meter.incomplete_at(latest) => Err(Failure::Silent),
            };
            let failure = match answer {
                Ok(response) => match self.believe(response).await {
                    Some((report, body)) => {
                        tracing::debug!(target: STORY, txn = message.map(|txn| &**txn), %addr, kept,
                            outcome = ?report.outcome, wait = report.wait, "answered");
                        if report.wait > 0.0 {
                            self.wait(waits, report.wait);
                            self.neighbour.tell(self.word(waits, report.wait));
                        }
                        return (report, Some((connection, body)));
                    }
                    None => Failure::Broken,
                },
                Err(failure) => failure,
            };
            tracing::debug!(target: STORY, txn = message.map(|txn| &**txn), ?failure, kept,
                started = meter.started(), complete = meter.complete(), heard = meter.heard().is_some(),
                "broken off");
            // The first line has told already: it is delivered, though the rest of the answer is no use.
            if meter.complete() && meter.says_ok() {
                return (Outcome::Ok.into(), None);
            }
            match failure {
                // A kept connection that the receiver closed, or that is not quiet, before a byte of this went
                // out: no attempt yet.
                Failure::Broken if kept && !meter.started() => {}
                // A receiver begins a call when its last byte has come: this one never ran.
                _ if !meter.complete() => return (Outcome::ConnectFailed.into(), None),
                // Something was answered that cannot be read: it ran, and the receiver is up.
                _ if meter.heard().is_some() => return (Outcome::Error.into(), None),
                Failure::Broken => return (Outcome::Reset.into(), None),
                Failure::Silent => return (Outcome::Timeout.into(), None),
            }
        }
    }

    /// What an answer says, and what is left to read of it. That a call never ran is believed only of an answer
    /// that is well-formed to its end: a spoilt one may say anything, and its call has run.
    async fn believe(&self, response: Response<Incoming>) -> Option<(Report, Option<Incoming>)> {
        let report = read(&response);
        let body = response.into_body();
        if matches!(report.outcome, Outcome::Ok | Outcome::Error) {
            return Some((report, Some(body)));
        }
        drain(body).await.then_some((report, None))
    }

    /// Reads the rest of an answer, so that its connection can be used again.
    async fn finish(&self, route: RouteId, rest: Option<Rest>) {
        let Some((mut connection, body)) = rest else { return };
        let whole = match body {
            Some(body) => drain(body).await,
            None => true,
        };
        if whole && matches!(timeout(REST_OF_ANSWER, connection.sender.ready()).await, Ok(Ok(()))) {
            self.keep(route, connection);
        }
    }

    /// Whether the route takes calls at this moment.
    fn may_send(&self, id: RouteId) -> bool {
        let routes = self.routes.borrow();
        let Some(route) = routes.get(&id).filter(|r| r.listing == Listing::Ready) else { return false };
        self.waits.borrow().get(&route.waits(id)).is_none_or(|&until| until <= Instant::now())
    }

    /// The other process of this sender was told to wait.
    pub fn heed(&self, destination: DestinationId, route: Option<RouteId>, wait: Millis) {
        let waits = route.map_or(Waits::Destination(destination), Waits::Route);
        self.wait(waits, wait.clamp(0.0, LONGEST_WAIT));
    }

    /// Every wait that is not over, as one process tells it the other.
    pub fn waits(&self) -> Vec<Word> {
        let now = Instant::now();
        let left = |until: Instant| until.saturating_duration_since(now).as_secs_f64() * 1_000.0;
        self.waits.borrow().iter().map(|(waits, until)| self.word(*waits, left(*until))).collect()
    }

    fn word(&self, waits: Waits, ms: Millis) -> Word {
        match waits {
            Waits::Destination(DestinationId(destination)) => Word::Wait { destination, receiver: None, ms },
            Waits::Route(route) => {
                let routes = self.routes.borrow();
                let route = routes.get(&route);
                let destination = route.map_or(0, |r| r.destination.0);
                Word::Wait { destination, receiver: Some(route.map_or("", |r| &*r.receiver).to_owned()), ms }
            }
        }
    }

    /// Also for a route that has left the list since: its destination has others.
    fn wait(&self, waits: Waits, wait: Millis) {
        let until = Instant::now() + Duration::from_secs_f64(wait / 1_000.0);
        let mut all = self.waits.borrow_mut();
        let at = all.entry(waits).or_insert(until);
        *at = (*at).max(until);
    }

    /// The connection that was used last: the others may then grow old and go.
    fn kept(&self, route: RouteId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&route)?;
        while let Some(connection) = kept.pop() {
            if connection.usable(now, self.idle_time) {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, route: RouteId, mut connection: Connection) {
        // The receiver may have moved while the call was out.
        let serves = |r: &Route| r.listing == Listing::Ready && r.addr == Some(connection.addr);
        let ready = self.routes.borrow().get(&route).is_some_and(serves);
        if ready && !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(route).or_default().push(connection);
        }
    }

    async fn connect(&self, addr: SocketAddr, until: Instant) -> Result<Connection, Outcome> {
        let permit = match self.sockets.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.close_oldest();
                self.sockets.clone().try_acquire_owned().map_err(|_| Outcome::Moot)?
            }
        };
        let until = until.min(Instant::now() + self.connect_timeout);
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let meter = Rc::new(Meter::of_answers());
            let io = Metered::new(Rc::new(RefCell::new(stream)), meter.clone());
            let (sender, connection) =
                http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await.ok()?;
            let task = spawn_local(async move {
                let _permit = permit;
                // How it ended shows in the call that was out.
                let _ = connection.await;
            });
            Some(Connection { sender, addr, meter, task, idle_since: Instant::now() })
        };
        timeout_at(until, open).await.ok().flatten().ok_or(Outcome::ConnectFailed)
    }

    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        // The longest idle of each route stands first.
        let oldest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }
}

/// What a told wait holds for: a route that is apart, or else a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Waits {
    Route(RouteId),
    Destination(DestinationId),
}

impl Route {
    fn waits(&self, id: RouteId) -> Waits {
        if self.apart { Waits::Route(id) } else { Waits::Destination(self.destination) }
    }
}

/// A connection, and the body that has not been read from it.
type Rest = (Connection, Option<Incoming>);

/// Why a call has no answer that can be read.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection ended, or what came is no answer.
    Broken,
    /// Time is up.
    Silent,
}

/// Reads a body to its end, if it has one that is near: receivers write at full speed what they write.
async fn drain(body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return false;
    }
    let whole = timeout(REST_OF_ANSWER, Limited::new(body, MAX_BODY).collect()).await;
    matches!(whole, Ok(Ok(_)))
}

/// A connection to a receiver. Closed when dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    meter: Rc<Meter>,
    task: JoinHandle<()>,
    idle_since: Instant,
}

impl Connection {
    fn usable(&self, now: Instant, idle_time: Duration) -> bool {
        !self.sender.is_closed() && now - self.idle_since < idle_time
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How an answer reads.
fn read(response: &Response<Incoming>) -> Report {
    let headers = response.headers();
    match response.status().as_u16() {
        200 => Outcome::Ok.into(),
        429 => Report { wait: told_wait(headers), ..Outcome::Full.into() },
        503 if headers.get(X_EGRESS_FULL).is_some_and(|v| v == "1") => Outcome::Moot.into(),
        503 => Report { wait: told_wait(headers), ..Outcome::Full.into() },
        504 => Outcome::Spent.into(),
        410 => Report { closed: true, ..Outcome::Moot.into() },
        // 500, and whatever else is said: it may have run.
        _ => Outcome::Error.into(),
    }
}

fn told_wait(headers: &HeaderMap) -> Millis {
    let text = headers.get(X_BACKOFF_MS).and_then(|v| v.to_str().ok());
    let wait = text.and_then(|t| t.trim().parse::<f64>().ok()).filter(|w| w.is_finite());
    wait.unwrap_or(0.0).clamp(0.0, LONGEST_WAIT)
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpSocket};

    use super::*;

    const ROUTE: RouteId = RouteId(1);

    fn route(addr: SocketAddr, listing: Listing) -> Route {
        let (receiver, zone) = ("r1".into(), "a".into());
        Route { addr: Some(addr), receiver, zone, destination: DestinationId(7), apart: false, listing }
    }

    impl Outbound {
        /// Routes, waits and idle connections that are remembered.
        pub fn remembered(&self) -> usize {
            let idle = self.idle.borrow().values().map(Vec::len).sum::<usize>();
            self.routes.borrow().len() + self.waits.borrow().len() + idle
        }
    }

    async fn set_up() -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "lanes": [{"name": "safe", "deadline": 9000.0}],
            "limits": {"max_attempts": 4, "most_held": 50, "connect_timeout": 5000.0, "idle_close": 15000.0}});
        let settings = rudderspindle_decide::settings::read(&json).expect("settings");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (to_engine, inputs) = mpsc::channel(16);
        let figures = Rc::new(Figures::new(&[]));
        let outbound = Rc::new(Outbound::new(&settings, 8, figures, Rc::default(), to_engine));
        outbound.list(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
        (outbound, listener, inputs)
    }

    fn call() -> Call {
        let (id, until) = (MessageId(3), Instant::now() + Duration::from_secs(5));
        let (txn, body) = ("m1".into(), Bytes::from_static(b"text"));
        Call { id, attempt: 0, route: ROUTE, txn, key: None, body, until, latest: until }
    }

    async fn next(inputs: &mut mpsc::Receiver<Input>) -> Input {
        timeout(Duration::from_secs(20), inputs.recv()).await.expect("in time").expect("an input")
    }

    /// Answers the call that comes.
    async fn answer(stream: &mut TcpStream, answer: &str) {
        let mut buffer = [0; 1024];
        let mut filled = 0;
        while !buffer[..filled].ends_with(b"text") {
            let n = stream.read(&mut buffer[filled..]).await.expect("a request");
            assert!(n > 0, "the request ends too early");
            filled += n;
        }
        let answer = format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.expect("writable");
    }

    #[tokio::test]
    async fn answers_read_as_the_protocol_says() {
        let report = |outcome, wait, closed| Report { outcome, wait, closed };
        let cases = [
            ("200 OK", report(Outcome::Ok, 0.0, true)),
            ("500 No", report(Outcome::Error, 0.0, false)),
            ("404 No", report(Outcome::Error, 0.0, false)),
            ("429 No\r\nX-Backoff-Ms: 250", report(Outcome::Full, 250.0, false)),
            ("429 No\r\nX-Backoff-Ms: soon", report(Outcome::Full, 0.0, false)),
            ("503 No", report(Outcome::Full, 0.0, false)),
            ("503 No\r\nX-Egress-Full: 1", report(Outcome::Moot, 0.0, false)),
            ("504 No", report(Outcome::Spent, 0.0, false)),
            ("410 No", report(Outcome::Moot, 0.0, true)),
        ];
        let test = async {
            for (text, expected) in cases {
                let (outbound, listener, mut inputs) = set_up().await;
                outbound.start(call());
                let (mut stream, _) = listener.accept().await.expect("a connection");
                answer(&mut stream, text).await;
                let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
                assert_eq!(report, expected, "{text}");
            }
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// The decision was right when it was made; a wait or a drain told before the call's first byte counts.
    #[tokio::test]
    async fn a_wait_or_a_drain_told_after_the_decision_stops_the_call() {
        let test = async {
            for drain in [false, true] {
                let (outbound, listener, mut inputs) = set_up().await;
                outbound.start(call());
                if drain {
                    let addr = listener.local_addr().expect("an address");
                    outbound.list(ROUTE, route(addr, Listing::Draining));
                } else {
                    outbound.wait(Waits::Destination(DestinationId(7)), 10_000.0);
                }
                let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
                assert_eq!(report, Outcome::Moot.into());
            }
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// A key's window was open when the decision was made, and is over when the connection has come up: the
    /// receiver would no longer know the key, and the message would take effect twice.
    #[tokio::test]
    async fn a_call_whose_connection_comes_up_too_late_does_not_go() {
        let test = async {
            let (outbound, _, mut inputs) = set_up().await;
            // With one connection that nobody accepts the queue is full, and the next one's SYN is dropped.
            let slow = TcpSocket::new_v4().expect("a socket");
            slow.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            let slow = slow.listen(0).expect("a listener");
            let addr = slow.local_addr().expect("an address");
            let _first = TcpStream::connect(addr).await.expect("a connection");
            outbound.list(ROUTE, route(addr, Listing::Ready));
            let started = Instant::now();
            let latest = started + Duration::from_millis(300);
            outbound.start(Call { latest, ..call() });
            let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            // Not what a failure to connect would be: nothing is known of the receiver.
            assert_eq!(report, Outcome::Moot.into());
            assert!(Instant::now() >= latest);
            // Nor does one go over a connection that is there, if its time was over before its task began.
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start(call());
            let (mut stream, _) = listener.accept().await.expect("a connection");
            answer(&mut stream, "200 OK").await;
            next(&mut inputs).await;
            while outbound.idle.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            outbound.start(Call { latest: Instant::now(), ..call() });
            let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!(report, Outcome::Moot.into());
            assert!(stream.try_read(&mut [0; 1]).is_err(), "something of it went out");
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    #[tokio::test]
    async fn a_probe_tells_what_it_found() {
        let test = async {
            for (answer, outcome) in [("200 OK", Outcome::Ok), ("503 No", Outcome::Full)] {
                let (outbound, listener, mut inputs) = set_up().await;
                outbound.probe(ROUTE);
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut head = [0; 18];
                stream.read_exact(&mut head).await.expect("a request");
                assert_eq!(&head, b"GET /-/healthy HTT");
                let answer = format!("HTTP/1.1 {answer}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes()).await.expect("writable");
                let Input::Probed { outcome: found, .. } = next(&mut inputs).await else {
                    panic!("no probe")
                };
                assert_eq!(found, outcome);
            }
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    #[tokio::test]
    async fn a_connection_is_not_used_when_the_receiver_may_be_about_to_close_it() {
        let test = async {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start(call());
            let (mut stream, _) = listener.accept().await.expect("a connection");
            answer(&mut stream, "200 OK").await;
            next(&mut inputs).await;
            while outbound.idle.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            let kept = outbound.kept(ROUTE).expect("it is kept");
            let old = Instant::now() + Duration::from_secs(13);
            assert!(kept.usable(Instant::now(), outbound.idle_time) && !kept.usable(old, outbound.idle_time));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// What has come behind an answer may not have been read yet when the next call goes out: it would be
    /// taken for that one's answer.
    #[tokio::test]
    async fn a_connection_that_is_not_quiet_carries_no_further_call() {
        let test = async {
            for noise in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b"noise"] {
                let (outbound, listener, mut inputs) = set_up().await;
                outbound.start(call());
                let (mut stream, _) = listener.accept().await.expect("a connection");
                answer(&mut stream, "200 OK").await;
                next(&mut inputs).await;
                while outbound.idle.borrow().is_empty() {
                    tokio::task::yield_now().await;
                }
                // Nothing here waits, so that the runtime does not look at its sockets before the call is out.
                assert_eq!(stream.try_write(noise).expect("writable"), noise.len());
                outbound.start(call());
                let again = timeout(Duration::from_secs(20), listener.accept()).await;
                let (mut stream, _) = again.expect("a new connection").expect("a connection");
                answer(&mut stream, "500 No").await;
                let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
                assert_eq!(report, Outcome::Error.into());
            }
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    #[tokio::test]
    async fn a_connection_to_an_address_that_is_no_longer_the_routes_is_not_kept() {
        let test = async {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start(call());
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            outbound.list(ROUTE, route(other.local_addr().expect("an address"), Listing::Ready));
            answer(&mut stream, "200 OK").await;
            next(&mut inputs).await;
            let end = timeout(Duration::from_secs(20), stream.read(&mut [0; 8])).await.expect("in time");
            assert_eq!(end.expect("an end"), 0);
            assert!(outbound.idle.borrow().is_empty());
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    #[tokio::test]
    async fn a_wait_beyond_reason_is_not_believed() {
        let test = async {
            let (outbound, listener, mut inputs) = set_up().await;
            outbound.start(call());
            let (mut stream, _) = listener.accept().await.expect("a connection");
            answer(&mut stream, "429 No\r\nX-Backoff-Ms: 1e300").await;
            let Input::Outcome { report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!((report.outcome, report.wait), (Outcome::Full, LONGEST_WAIT));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
