//! The platform's agent beside one sender: the list of endpoints, whole and watched, and the place for notices.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::event_log::{Event, EventLog};
use crate::listen;
use crate::scenario::{DiscoveryFault, Phase};

/// While nothing changes an empty line comes so often on a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Notices of one request, in bytes.
const MOST_NOTICES: usize = 4 << 20;
/// An address that was left closes its connections after this time.
const CLOSES_AFTER: Duration = Duration::from_millis(1_500);
/// Lines that may wait on one watch; a watch that is so far behind is ended.
const MOST_LINES: usize = 1_024;

/// How notices are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notices {
    /// With 204.
    Taken,
    /// With 500.
    Refused,
    /// Not at all.
    Ignored,
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The endpoint's id.
    pub id: String,
    /// Where this sender reaches it.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Its kind, as the settings name them.
    pub kind: String,
    /// Its partner's number.
    pub partner: u16,
    /// Its phase.
    pub phase: Phase,
    /// Calls a second that its partner takes from all senders together.
    pub per_s: f64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"id": self.id, "host_port": self.addr.to_string(), "locality": self.hall, "flavor": self.kind,
               "cell": self.partner, "phase": self.phase.wire_name(), "size": self.per_s, "up_since_ms": 0})
    }
}

#[derive(Debug)]
struct State {
    revision: u64,
    /// What has changed since when, for watches that begin later.
    changes: Vec<(u64, Value, Change)>,
    entries: Vec<Entry>,
    watches: Vec<mpsc::Sender<Change>>,
    notices: Notices,
    /// The phase of each changed endpoint that its sender was last told.
    told: BTreeMap<String, Phase>,
}

/// A line of a watch, and the endpoint that it tells of.
#[derive(Clone, Debug)]
struct Change {
    line: String,
    endpoint: String,
    phase: Phase,
}

/// Where it is to be found. When it is dropped nothing more is taken there, and a little later what is open ends.
#[derive(Debug)]
struct Place {
    addr: SocketAddr,
    _stands: watch::Sender<()>,
}

#[derive(Debug)]
struct Shared {
    sender: String,
    evidence: EventLog,
    state: Mutex<State>,
    /// While it is silent, nothing is answered and nothing told.
    silent: watch::Sender<bool>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A change is on its way to the sender: from here on it counts as told.
    fn told(&self, state: &mut State, endpoint: &str, phase: Phase) {
        if state.told.insert(endpoint.to_owned(), phase) != Some(phase) {
            let (sender, endpoint) = (self.sender.clone(), endpoint.to_owned());
            self.evidence.record(Event::EndpointChanged {
                sender,
                endpoint,
                phase: phase.wire_name().to_owned(),
            });
        }
    }
}

/// An agent that runs until it is dropped.
#[derive(Debug)]
pub struct FakeDiscovery {
    place: Mutex<Place>,
    shared: Arc<Shared>,
}

impl FakeDiscovery {
    /// Starts an agent for a sender with a first list.
    ///
    /// # Errors
    ///
    /// What the sockets say.
    pub async fn start(sender: &str, entries: Vec<Entry>, evidence: &EventLog) -> std::io::Result<Self> {
        let (changes, watches, told) = Default::default();
        let state = State { revision: 1, changes, entries, watches, notices: Notices::Taken, told };
        let (sender, evidence, silent) = (sender.to_owned(), evidence.clone(), watch::channel(false).0);
        let shared = Arc::new(Shared { sender, evidence, state: Mutex::new(state), silent });
        let place = Mutex::new(take_place(&shared).await?);
        Ok(Self { place, shared })
    }

    /// Where its sender finds it.
    pub fn addr(&self) -> SocketAddr {
        self.place().addr
    }

    fn place(&self) -> MutexGuard<'_, Place> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It moves to another address, which it returns. The old one takes no new connection from now on, and closes
    /// those that are open after 1.5 s.
    ///
    /// # Errors
    ///
    /// What the sockets say.
    pub async fn relocate(&self) -> std::io::Result<SocketAddr> {
        let new = take_place(&self.shared).await?;
        let addr = new.addr;
        *self.place() = new;
        Ok(addr)
    }

    /// The whole list, as the configuration's `known` has it.
    pub fn list(&self) -> Value {
        whole(&self.shared.state())
    }

    /// Changes an endpoint's phase and tells the watches; the sender counts as told when a line is written.
    pub fn change(&self, endpoint: &str, phase: Phase) {
        let mut state = self.shared.state();
        let Some(entry) = state.entries.iter_mut().find(|e| e.id == endpoint) else { return };
        entry.phase = phase;
        let json = entry.json();
        if phase == Phase::Deleted {
            state.entries.retain(|e| e.id != endpoint);
        }
        state.revision += 1;
        let revision = state.revision;
        let line = json!({"revision": revision, "complete": false, "members": [&json]}).to_string();
        let change = Change { line, endpoint: endpoint.to_owned(), phase };
        state.watches.retain(|watch| watch.try_send(change.clone()).is_ok());
        state.changes.push((revision, json, change));
    }

    /// How notices are answered from now on.
    pub fn answer_notices(&self, how: Notices) {
        self.shared.state().notices = how;
    }

    /// Something befalls it, or is over.
    pub fn suffer(&self, trouble: DiscoveryFault, on: bool, evidence: &EventLog) {
        let notices = |how| self.answer_notices(if on { how } else { Notices::Taken });
        let kind = match trouble {
            DiscoveryFault::Silent => {
                self.silence(on);
                "silent"
            }
            DiscoveryFault::RejectsNotifications => {
                notices(Notices::Refused);
                "refuses_notices"
            }
            DiscoveryFault::IgnoresNotifications => {
                notices(Notices::Ignored);
                "ignores_notices"
            }
        };
        evidence.record(Event::DiscoveryFault {
            sender: self.shared.sender.clone(),
            kind: kind.to_owned(),
            on,
        });
    }

    /// From now on it says nothing, or speaks again.
    pub fn silence(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }
}

fn whole(state: &State) -> Value {
    let members: Vec<Value> = state.entries.iter().map(Entry::json).collect();
    json!({"revision": state.revision, "complete": true, "members": members})
}

async fn take_place(shared: &Arc<Shared>) -> std::io::Result<Place> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let (stands, mut moved) = watch::channel(());
    let shared = shared.clone();
    tokio::spawn(async move {
        let mut open = tokio::task::JoinSet::new();
        tokio::select! {
            () = serve(shared, &listener, &mut open) => {}
            _ = moved.changed() => {}
        }
        drop(listener);
        tokio::time::sleep(CLOSES_AFTER).await;
    });
    Ok(Place { addr, _stands: stands })
}

async fn serve(shared: Arc<Shared>, listener: &TcpListener, open: &mut tokio::task::JoinSet<()>) {
    loop {
        let stream = listen::next(listener, open).await;
        let shared = shared.clone();
        open.spawn(async move {
            let service = service_fn(|request| answer(shared.clone(), request));
            let builder = hyper::server::conn::http1::Builder::new();
            // How it ended is the sender's matter.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

type Reply = Response<BoxBody<Bytes, Infallible>>;

fn reply(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::from(text).boxed());
    *reply.status_mut() = status;
    reply
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, std::io::Error> {
    let cut = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    if request.uri().path() == "/reports" {
        // Notices are answered also while discovery is down.
        let body = Limited::new(request.into_body(), MOST_NOTICES).collect().await.map_err(|_| cut())?;
        return notices(&shared, &body.to_bytes()).await;
    }
    let _ = shared.silent.subscribe().wait_for(|silent| !silent).await;
    let query = request.uri().query().unwrap_or_default();
    let from =
        query.split('&').find_map(|pair| pair.strip_prefix("from=")).and_then(|n| n.parse::<u64>().ok());
    let mut state = shared.state();
    // Whoever asks hears of all that has changed, or of what has since the revision that it names.
    let since = from.filter(|from| query.contains("watch=1") && *from <= state.revision).unwrap_or(0);
    let news: Vec<(String, Phase)> =
        state.changes.iter().filter(|c| c.0 > since).map(|c| (c.2.endpoint.clone(), c.2.phase)).collect();
    for (endpoint, phase) in news {
        shared.told(&mut state, &endpoint, phase);
    }
    if !query.contains("watch=1") {
        return Ok(reply(StatusCode::OK, whole(&state).to_string()));
    }
    let (lines, next) = mpsc::channel(MOST_LINES);
    let missed: Vec<Value> =
        state.changes.iter().filter(|c| from.is_some_and(|from| c.0 > from)).map(|c| c.1.clone()).collect();
    let first = if from.is_none_or(|from| from > state.revision) {
        whole(&state)
    } else {
        json!({"revision": state.revision, "complete": false, "members": missed})
    };
    state.watches.push(lines);
    drop(state);
    let silent = shared.silent.subscribe();
    let (first, beat) = (Some(first.to_string()), tokio::time::interval(HEARTBEAT));
    Ok(Response::new(Watch { first, next, beat, silent, shared: shared.clone() }.boxed()))
}

async fn notices(shared: &Shared, body: &[u8]) -> Result<Reply, std::io::Error> {
    let lines: Result<Vec<Value>, _> =
        body.split(|&b| b == b'\n').filter(|l| !l.is_empty()).map(serde_json::from_slice).collect();
    let Ok(lines) = lines else { return Ok(reply(StatusCode::BAD_REQUEST, "no JSON lines".to_owned())) };
    let how = shared.state().notices;
    for line in &lines {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        let (message_id, status, sender) = (text("id"), text("status"), shared.sender.clone());
        shared.evidence.record(Event::Notified {
            sender,
            message_id,
            status,
            acknowledged: how == Notices::Taken,
        });
    }
    match how {
        Notices::Taken => Ok(reply(StatusCode::NO_CONTENT, String::new())),
        Notices::Refused => Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, String::new())),
        Notices::Ignored => std::future::pending().await,
    }
}

/// A watch's answer: a line for each change, an empty one now and then.
struct Watch {
    first: Option<String>,
    next: mpsc::Receiver<Change>,
    beat: tokio::time::Interval,
    silent: watch::Receiver<bool>,
    shared: Arc<Shared>,
}

impl Body for Watch {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = |text: String| Poll::Ready(Some(Ok(Frame::data(Bytes::from(text + "\n")))));
        // Nothing is told while it is silent; the beat looks again. Its sender may give the watch up first.
        let silent = *self.silent.borrow();
        if let Some(first) = self.first.take() {
            return frame(first);
        }
        if !silent && let Poll::Ready(change) = self.next.poll_recv(cx) {
            let Some(change) = change else { return Poll::Ready(None) };
            self.shared.told(&mut self.shared.state(), &change.endpoint, change.phase);
            return frame(change.line);
        }
        while self.beat.poll_tick(cx).is_ready() {
            if !silent {
                return frame(String::new());
            }
        }
        Poll::Pending
    }
}
