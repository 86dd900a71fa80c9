//! Clients: takes messages in, and answers what the host says.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use rudderspindle::interface::*;
use rudderspindle::settings::Names;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::host::Input;
use super::outbound::IDEMPOTENCY_KEY;
use super::{MAX_BODY, Meter, Metered, Txn};

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_ORG: HeaderName = HeaderName::from_static("x-org");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const X_ROUTE_TO: HeaderName = HeaderName::from_static("x-route-to");

const READY: &str = "/-/ready";
/// An id or a key is no longer than this.
const MAX_NAME: usize = 256;
/// A connection whose next request does not come for so long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A message handed in, and where its answer goes.
#[derive(Debug)]
pub struct Submission {
    /// Names this hand-in, also where two carry the same id.
    pub number: u64,
    pub txn: Txn,
    pub class: usize,
    pub tenant: usize,
    pub destination: DestinationId,
    pub key: Option<Bytes>,
    pub body: Bytes,
    pub ends_at: Instant,
    pub answer: oneshot::Sender<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Accepted,
    /// After how many milliseconds to come again; 0 for no advice.
    Refused(Millis),
    Failed,
    UnknownDestination,
}

/// What all clients' connections share.
#[derive(Debug)]
pub struct Inbound {
    settings: Settings,
    names: Names,
    host: mpsc::Sender<Input>,
    hand_ins: Cell<u64>,
    sockets: Arc<Semaphore>,
    stopping: watch::Receiver<bool>,
}

impl Inbound {
    pub fn new(
        settings: Settings,
        names: Names,
        sockets: usize,
        host: mpsc::Sender<Input>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        let sockets = Arc::new(Semaphore::new(sockets));
        Self { settings, names, host, hand_ins: Cell::new(0), sockets, stopping }
    }

    /// Accepts connections for good.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            // Never closed, so always granted in the end.
            let permit = self.sockets.clone().acquire_owned().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let this = self.clone();
                    spawn_local(async move {
                        let _permit = permit;
                        this.serve(stream).await;
                    });
                }
                Err(error) => {
                    log!("clients: a connection could not be accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut stopping = self.stopping.clone();
        let stops = *stopping.borrow_and_update();
        let owed = OwedAnswer::default();
        let io = Metered::new(stream, owed.meter.clone());
        let service = service_fn(|request| self.answer(request, &owed));
        let mut connection = pin!(
            http1::Builder::new()
                .keep_alive(!stops)
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(io, service)
        );
        let mut told = stops;
        loop {
            tokio::select! {
                // How it ended shows in what is still owed.
                _ = connection.as_mut() => break,
                _ = stopping.changed(), if !told => {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
        // The client never heard that its message is taken on, and may hand it in elsewhere: drop it.
        if let Some(number) = owed.unheard() {
            let _ = self.host.send(Input::Withdrawn(number)).await;
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        owed: &OwedAnswer,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, READY) if *self.stopping.borrow() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "stopping")
            }
            (&Method::GET, READY) => plain(StatusCode::OK, "ready"),
            (_, READY) => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only"),
            (&Method::POST, _) => match self.submit(request, owed).await {
                Ok(answer) | Err(answer) => answer,
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "POST only"),
        };
        Ok(answer)
    }

    /// Hands a message to the host and waits for what it says; `Err` is a request that cannot be taken.
    async fn submit(&self, request: Request<Incoming>, owed: &OwedAnswer) -> Result<Reply, Reply> {
        let bad = |what| plain(StatusCode::BAD_REQUEST, what);
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_BODY as u64 {
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
        let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
            Ok(Err(_)) => return Err(bad("unfinished body")),
            Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "unfinished body")),
        };
        // A message's time counts from its last byte. Its class bounds what a client can ask for.
        let left = left.min(self.settings.classes[class].deadline / 1_000.0);
        let ends_at = Instant::now() + Duration::from_secs_f64(left);
        let number = self.hand_ins.get();
        self.hand_ins.set(number + 1);
        let (answer, answered) = oneshot::channel();
        let submission = Submission { number, txn, class, tenant, destination, key, body, ends_at, answer };
        if self.host.try_send(Input::HandedIn(submission)).is_err() {
            return Ok(self.refusal(0.0));
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
    async fn set_up() -> (TcpStream, mpsc::Receiver<Input>, watch::Sender<bool>) {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
            "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
        let settings = rudderspindle::settings::read(&json).expect("settings");
        let names = rudderspindle::settings::names(&json).expect("names");
        let (to_host, inputs) = mpsc::channel(16);
        let (stop, stopping) = watch::channel(false);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a client");
        spawn_local(Rc::new(Inbound::new(settings, names, 8, to_host, stopping)).run(listener));
        (client, inputs, stop)
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
