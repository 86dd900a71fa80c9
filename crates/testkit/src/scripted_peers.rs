//! Stand-ins for tests that want every answer as told, call by call: a platform, a receiver, and one that writes
//! bytes as they are. For worlds that follow a plan see [`crate::test_environment`].
//!
//! Made for tests: what should not happen panics and says so.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// Nothing here takes so long unless it is broken.
const PATIENCE: Duration = Duration::from_secs(20);

/// What comes of something that must not take long.
pub async fn soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(PATIENCE, future).await.unwrap_or_else(|_| panic!("in vain: {what}"))
}

// ---- The platform ----------------------------------------------------------------------------------------

/// Discovery and the place for notices.
#[derive(Debug)]
pub struct FakePlatform {
    /// Where it is.
    pub addr: SocketAddr,
    /// Each watch: its query, and where its lines go. Dropping that ends it.
    pub watches: UnboundedReceiver<(String, UnboundedSender<String>)>,
    /// Each request with notices, and how it was answered.
    pub reports: UnboundedReceiver<(Vec<Value>, u16)>,
    answers: Arc<Mutex<VecDeque<u16>>>,
    /// The whole list, for those that ask for it.
    pub list: Arc<Mutex<Option<Value>>>,
}

struct LinesBody(UnboundedReceiver<String>);

impl Body for LinesBody {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(Bytes::from(line + "\n")))))
    }
}

type Reply = Response<BoxBody<Bytes, Infallible>>;

fn reply(status: u16) -> Reply {
    let mut reply = Response::new(Full::default().boxed());
    *reply.status_mut() = StatusCode::from_u16(status).expect("a status");
    reply
}

impl FakePlatform {
    /// Starts one that has no list yet.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (watch_to, watches) = unbounded_channel();
        let (report_to, reports) = unbounded_channel();
        let answers = Arc::new(Mutex::new(VecDeque::new()));
        let script = answers.clone();
        let list = Arc::new(Mutex::new(None::<Value>));
        let lists = list.clone();
        serve(listener, move |request| {
            let (watch_to, report_to) = (watch_to.clone(), report_to.clone());
            let (script, list) = (script.clone(), lists.clone());
            async move {
                if request.uri().path() == "/reports" {
                    let body = request.into_body().collect().await.ok()?.to_bytes();
                    let lines = body.split(|&b| b == b'\n').filter(|l| !l.is_empty());
                    let notices = lines.map(|l| serde_json::from_slice(l).expect("JSON")).collect();
                    let status = script.lock().expect("a script").pop_front().unwrap_or(204);
                    report_to.send((notices, status)).ok()?;
                    return Some(reply(status));
                }
                if request.uri().query().is_none() {
                    let list = list.lock().expect("a list").clone();
                    let text = list.map_or(String::new(), |list| list.to_string());
                    return Some(Response::new(Full::from(text).boxed()));
                }
                let (lines, body) = unbounded_channel();
                watch_to.send((request.uri().query().unwrap_or_default().to_owned(), lines)).ok()?;
                Some(Response::new(LinesBody(body).boxed()))
            }
        });
        Self { addr, watches, reports, answers, list }
    }

    /// How the next requests with notices are answered; after that 204.
    pub fn answer_reports(&self, statuses: &[u16]) {
        self.answers.lock().expect("a script").extend(statuses);
    }

    /// The next watch: its query, and where its lines go.
    pub async fn watch(&mut self) -> (String, UnboundedSender<String>) {
        soon("a watch", self.watches.recv()).await.expect("a platform")
    }

    /// The next request with notices: ids and states, and how it was answered.
    pub async fn report(&mut self) -> (Vec<(String, String)>, u16) {
        let (notices, status) = soon("a notice", self.reports.recv()).await.expect("a platform");
        let text = |v: &Value, key: &str| v[key].as_str().unwrap_or_default().to_owned();
        (notices.iter().map(|n| (text(n, "id"), text(n, "status"))).collect(), status)
    }

    /// Whether no notice has come that was not asked for.
    pub fn nothing_reported(&mut self) -> bool {
        self.reports.try_recv().is_err()
    }
}

/// Serves each connection by `answer`; `None` breaks it off.
fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<Reply>> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move { answer.await.ok_or("broken off") }
                });
                let server = hyper::server::conn::http1::Builder::new();
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
}

// ---- Receivers -------------------------------------------------------------------------------------------

/// A call as its receiver had it.
#[derive(Debug)]
pub struct Call {
    /// The message's id.
    pub message_id: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it had come whole.
    pub at: Instant,
}

/// How a call is answered.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// A status, with a header.
    Say(u16, Option<(&'static str, &'static str)>),
    /// A 200 after which the connection closes without having said so.
    SayAndClose,
    /// No answer, for good.
    Hang,
    /// The connection ends without an answer.
    Break,
}

/// A receiver that does what its script says, and then answers 200.
#[derive(Debug)]
pub struct Receiver {
    /// Where it is.
    pub addr: SocketAddr,
    /// Each call.
    pub calls: UnboundedReceiver<Call>,
    script: Arc<Mutex<VecDeque<Act>>>,
}

impl Receiver {
    /// Starts one that does these acts first.
    pub async fn start(acts: &[Act]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (call_to, calls) = unbounded_channel();
        let script = Arc::new(Mutex::new(VecDeque::from(acts.to_vec())));
        let acts = script.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (call_to, acts) = (call_to.clone(), acts.clone());
                tokio::spawn(async move {
                    let close = Arc::new(tokio::sync::Notify::new());
                    let closing = close.clone();
                    let service = service_fn(move |request: Request<Incoming>| {
                        let (call_to, acts, closing) = (call_to.clone(), acts.clone(), closing.clone());
                        async move {
                            let (head, body) = request.into_parts();
                            let body = body.collect().await.map_err(|_| "cut short")?.to_bytes();
                            let message_id = head.headers.get("x-txn").and_then(|v| v.to_str().ok());
                            let act = acts.lock().expect("a script").pop_front();
                            let message_id = message_id.unwrap_or_default().to_owned();
                            let call = Call { message_id, headers: head.headers, body, at: Instant::now() };
                            let _ = call_to.send(call);
                            match act.unwrap_or(Act::Say(200, None)) {
                                Act::Say(status, header) => {
                                    let mut reply = reply(status);
                                    if let Some((name, value)) = header {
                                        reply.headers_mut().insert(name, value.parse().expect("a value"));
                                    }
                                    Ok(reply)
                                }
                                Act::SayAndClose => {
                                    closing.notify_one();
                                    Ok(reply(200))
                                }
                                Act::Hang => std::future::pending().await,
                                Act::Break => Err("broken off"),
                            }
                        }
                    });
                    let server = hyper::server::conn::http1::Builder::new();
                    let mut serving = std::pin::pin!(server.serve_connection(TokioIo::new(stream), service));
                    tokio::select! {
                        _ = serving.as_mut() => {}
                        () = async {
                            close.notified().await;
                            tokio::task::yield_now().await;
                            tokio::time::sleep(Duration::from_millis(5)).await;
                        } => {}
                    }
                });
            }
        });
        Self { addr, calls, script }
    }

    /// What comes after the acts that are left.
    pub fn then(&self, acts: &[Act]) {
        self.script.lock().expect("a script").extend(acts);
    }

    /// The next call.
    pub async fn call(&mut self) -> Call {
        soon("a call", self.calls.recv()).await.expect("a receiver")
    }

    /// Whether no call has come that was not asked for.
    pub fn nothing_called(&mut self) -> bool {
        self.calls.try_recv().is_err()
    }
}

/// A receiver that writes what it is told to, byte for byte, and keeps the connection open.
#[derive(Debug)]
pub struct MalformedResponder {
    /// Where it is.
    pub addr: SocketAddr,
    /// Each call: the number of its connection, and its id.
    pub calls: UnboundedReceiver<(usize, String)>,
    answers: Arc<Mutex<VecDeque<Vec<Vec<u8>>>>>,
}

impl MalformedResponder {
    /// Starts one whose answers are good until told otherwise. All bodies must end in `text`.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (call_to, calls) = unbounded_channel();
        let answers = Arc::new(Mutex::new(VecDeque::<Vec<Vec<u8>>>::new()));
        let script = answers.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (call_to, script) = (call_to.clone(), script.clone());
                tokio::spawn(async move {
                    let (mut from, mut to) = stream.into_split();
                    let mut seen = Vec::new();
                    while let Ok(1..) = from.read_buf(&mut seen).await {
                        // All bodies here end so, and no head does.
                        if !seen.ends_with(b"text") {
                            continue;
                        }
                        let head = String::from_utf8_lossy(&seen).into_owned();
                        let message_id =
                            head.lines().find_map(|l| l.strip_prefix("x-txn: ")).unwrap_or_default();
                        let _ = call_to.send((number, message_id.to_owned()));
                        seen.clear();
                        let parts = script.lock().expect("a script").pop_front();
                        for part in parts.unwrap_or_else(|| vec![GOOD.to_vec()]) {
                            if part.is_empty() {
                                tokio::time::sleep(Duration::from_millis(800)).await;
                            } else if to.write_all(&part).await.is_err() {
                                return;
                            }
                        }
                    }
                });
            }
        });
        Self { addr, calls, answers }
    }

    /// How the next call is answered; an empty part is a pause.
    pub fn then(&self, parts: &[&[u8]]) {
        let parts = parts.iter().map(|part| part.to_vec()).collect();
        self.answers.lock().expect("a script").push_back(parts);
    }

    /// The next call: the number of its connection, and its id.
    pub async fn call(&mut self) -> (usize, String) {
        soon("a call", self.calls.recv()).await.expect("a receiver")
    }
}

/// A good answer.
pub const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// ---- Configurations --------------------------------------------------------------------------------------

/// An entry of the list.
pub fn member(id: &str, addr: SocketAddr, cell: u16, phase: &str) -> Value {
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": "shared", "cell": cell,
           "phase": phase, "size": 1000.0, "up_since_ms": 0})
}

/// A list, or a change of one.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// A configuration with the classes `safe`, `keyed` and `once`, and a deadline for each of them.
pub fn config(platform: SocketAddr, members: &[Value], deadline_ms: f64) -> Value {
    let lane = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window": 15000.0, "credit": 1.0,
               "deadline": deadline_ms, "target": deadline_ms / 2.0, "late_worth": 0.3})
    };
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128, "disk_mb": 3},
        "known": list(7, true, members),
        "settings": {
            "az": 0, "azs": ["a", "b"], "kinds": ["shared"], "peers_total": 1, "tick": 5.0, "weights": "nominal",
            "lanes": [lane("safe", "free"), lane("keyed", "guarded"), lane("once", "single_shot")],
            "projects": [{"name": "acme", "fraction": 1.0, "quota_per_s": 1000.0}],
            "extra": {"bundle_max": [1], "kind_apart": [false], "calls_out": 16},
            "limits": {"connect_timeout": 500.0, "idle_close": 15000.0, "max_attempts": 4, "most_held": 100,
                       "max_retry_after": 3000.0, "retry_after": true},
            "rules": {"cold_from": 0.2, "fall_multiple": 2.5, "tip_after": 3000.0, "warm_within": 9000.0}}})
}

/// A hand-in as a client writes it.
pub fn raw_hand_in(message_id: &str, length: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /safe HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {message_id}\r\nX-Org: acme\r\nX-Remaining: 60\r\n\
         X-Route-To: dest=7\r\n{length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The status of the answer that comes next; `None` if the connection ends instead.
pub async fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    match soon("an answer or a close", stream.read_exact(&mut head)).await {
        Ok(_) => Some(String::from_utf8_lossy(&head[9..]).parse().expect("a status")),
        Err(_) => None,
    }
}

/// Reads an answer behind its status line's first bytes, up to where the next one would begin.
pub async fn rest_of_answer(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let length = |head: &str| {
        let field = head.lines().find_map(|l| l.strip_prefix("content-length: "));
        field.map_or(0, |n| n.parse::<usize>().expect("a length"))
    };
    loop {
        let text = String::from_utf8_lossy(&seen);
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= length(&head.to_lowercase())
        {
            return;
        }
        soon("an answer", stream.read_buf(&mut seen)).await.expect("readable");
    }
}

/// A connection from a certain loopback address on which nothing is written.
pub async fn connect_from(from: &str, to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::new(from.parse().expect("an address"), 0)).expect("a free port");
    soon("a connection", socket.connect(to)).await.expect("a connection")
}

/// Reads what still comes until the connection ends.
pub async fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A reset ends it as well.
    let _ = soon("the end", stream.read_to_end(&mut rest)).await;
    rest
}
