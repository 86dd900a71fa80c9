//! Calls over loopback sockets, with the test in place of the receiver.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_policy::interface::{DestinationId, Listing, MessageHandle, Outcome, RouteId};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::Outbound;
use super::routes::Route;
use crate::event::{Call, CallOutcome, Input};
use crate::metrics::Metrics;

mod deadline;
mod idle_connections;
mod interrupted;
mod outcomes;
mod responses;
mod withheld;

const ROUTE: RouteId = RouteId(1);

fn route(addr: SocketAddr, listing: Listing) -> Route {
    Route {
        addr: Some(addr),
        receiver: "r1".into(),
        zone: "a".into(),
        destination: DestinationId(7),
        has_own_backoff: false,
        listing,
    }
}

impl Outbound {
    /// Number of routes, backoffs and idle connections.
    pub fn entries(&self) -> usize {
        self.routes.len() + self.backoffs.len() + self.idle.len()
    }
}

async fn set_up() -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
    set_up_with(8).await
}

async fn set_up_with(max_connections: usize) -> (Rc<Outbound>, TcpListener, mpsc::Receiver<Input>) {
    let json = serde_json::json!({
        "extra": {"calls_out": 4}, "kinds": ["k"],
        "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}],
        "limits": {"max_attempts": 4, "most_held": 50, "connect_timeout": 5000.0, "idle_close": 15000.0}});
    let settings = rudderspindle_policy::settings::read(&json).expect("settings");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (to_engine, inputs) = mpsc::channel(16);
    let metrics = Rc::new(Metrics::new(&[]));
    let outbound = Rc::new(Outbound::new(&settings, max_connections, metrics, Rc::default(), to_engine));
    outbound.update_route(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
    (outbound, listener, inputs)
}

fn call() -> Call {
    let deadline = Instant::now() + Duration::from_secs(5);
    Call {
        id: MessageHandle(3),
        attempt: 0,
        route: ROUTE,
        message_id: "m1".into(),
        idempotency_key: None,
        body: Bytes::from_static(b"text"),
        response_deadline: deadline,
        write_deadline: deadline,
    }
}

async fn next(inputs: &mut mpsc::Receiver<Input>) -> Input {
    timeout(Duration::from_secs(20), inputs.recv()).await.expect("in time").expect("an input")
}

async fn next_outcome(inputs: &mut mpsc::Receiver<Input>) -> CallOutcome {
    let Input::AttemptFinished { outcome, .. } = next(inputs).await else { panic!("no outcome") };
    outcome
}

/// Reads the next request to its last byte.
async fn read_request(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    let mut filled = 0;
    while !buffer[..filled].ends_with(b"text") {
        let n = stream.read(&mut buffer[filled..]).await.expect("a request");
        assert!(n > 0, "the request ends too early");
        filled += n;
    }
}

/// Reads the next request and responds with this status, and header lines, if any.
async fn respond(stream: &mut TcpStream, status: &str) {
    read_request(stream).await;
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(response.as_bytes()).await.expect("writable");
}

/// Makes a call that succeeds, and waits until its connection is idle. Returns the receiver's side of the connection.
async fn complete_call(
    outbound: &Rc<Outbound>,
    listener: &TcpListener,
    inputs: &mut mpsc::Receiver<Input>,
    call: Call,
) -> TcpStream {
    outbound.start_call(call);
    let (mut stream, _) = listener.accept().await.expect("a connection");
    respond(&mut stream, "200 OK").await;
    let call_outcome = next_outcome(inputs).await;
    assert_eq!(call_outcome, Outcome::Ok.into());
    while outbound.idle.len() == 0 {
        tokio::task::yield_now().await;
    }
    stream
}

/// Length of a body that is only partly written while a [`narrow`] listener does not read.
const LARGE: usize = 60_000;

/// A listener whose connections have small receive buffers.
fn narrow() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("a window");
    SockRef::from(&socket).set_tcp_mss(536).expect("a segment size");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket.listen(16).expect("a listener")
}

/// Counts the bytes received until the connection ends, by a reset or not.
async fn read_to_end(stream: &mut TcpStream) -> usize {
    let mut received = 0;
    let mut buffer = vec![0; 4096];
    while let Ok(n @ 1..) = timeout(Duration::from_secs(20), stream.read(&mut buffer)).await.expect("an end")
    {
        received += n;
    }
    received
}

/// Polls a future once.
trait NowOrNever: Future + Sized {
    fn now_or_never(self) -> Option<Self::Output> {
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        match std::pin::pin!(self).poll(&mut context) {
            std::task::Poll::Ready(output) => Some(output),
            std::task::Poll::Pending => None,
        }
    }
}

impl<F: Future> NowOrNever for F {}
