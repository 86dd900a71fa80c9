//! Tests calls over loopback sockets. The test acts as the receiver.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_policy::interface::{DestinationId, Listing, MessageHandle, Outcome, RouteId};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::Outbound;
use super::connection::Connection;
use super::routes::Route;
use crate::event::{Call, CallOutcome, Input};
use crate::metrics::Metrics;

mod deadline;
mod delayed_copies;
mod distant_receivers;
mod idle_connections;
mod interrupted;
mod outcomes;
mod repeated_responses;
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
    /// Total number of routes, backoffs and idle connections.
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
    let settings = rudderspindle_policy::settings::read(&json).expect("valid settings");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a loopback port");
    let (to_engine, inputs) = mpsc::channel(16);
    let metrics = Rc::new(Metrics::new(&[]));
    let outbound = Rc::new(Outbound::new(&settings, max_connections, metrics, Rc::default(), to_engine));
    outbound.update_route(ROUTE, route(listener.local_addr().expect("listener address"), Listing::Ready));
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
        idempotent: false,
        response_deadline: deadline,
        write_deadline: deadline,
    }
}

async fn next_input(inputs: &mut mpsc::Receiver<Input>) -> Input {
    timeout(Duration::from_secs(20), inputs.recv())
        .await
        .expect("completion within the timeout")
        .expect("an open engine channel")
}

async fn next_call_outcome(inputs: &mut mpsc::Receiver<Input>) -> CallOutcome {
    let Input::AttemptFinished { outcome, .. } = next_input(inputs).await else {
        panic!("expected an outcome")
    };
    outcome
}

/// Reads the next request to its last byte.
async fn read_request(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    let mut filled = 0;
    while !buffer[..filled].ends_with(b"text") {
        let n = stream.read(&mut buffer[filled..]).await.expect("read the request");
        assert!(n > 0, "connection ended before the last byte of the request");
        filled += n;
    }
}

/// Reads the next request and responds with `status`: the status line without its version, and header lines, if any.
async fn respond(stream: &mut TcpStream, status: &str) {
    read_request(stream).await;
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(response.as_bytes()).await.expect("write to the connection");
}

/// Makes a call that succeeds, and waits until its connection is idle. Returns the receiver's end of the connection.
async fn complete_call(
    outbound: &Rc<Outbound>,
    listener: &TcpListener,
    inputs: &mut mpsc::Receiver<Input>,
    call: Call,
) -> TcpStream {
    outbound.start_call(call);
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    respond(&mut stream, "200 OK").await;
    let call_outcome = next_call_outcome(inputs).await;
    assert_eq!(call_outcome, Outcome::Ok.into());
    while outbound.idle.len() == 0 {
        tokio::task::yield_now().await;
    }
    stream
}

/// Takes the idle connection once it may be used.
async fn take_idle_connection(outbound: &Outbound) -> Connection {
    sleep_until(outbound.idle.next_usable_at(ROUTE, true).expect("an idle connection")).await;
    outbound.idle.take(ROUTE, true).expect("a connection that may be used")
}

/// Length of a body that is only partly written to a connection of [`listener_with_small_buffers`] that is not read.
const LARGE_BODY_LEN: usize = 60_000;

/// Creates a listener whose connections have small receive buffers.
fn listener_with_small_buffers() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(2_048).expect("set the receive buffer size");
    SockRef::from(&socket).set_tcp_mss(536).expect("set the segment size");
    socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("bind to a loopback port");
    socket.listen(16).expect("listen on the socket")
}

/// Reads until the connection is closed or reset; returns the number of bytes received.
async fn read_to_end(stream: &mut TcpStream) -> usize {
    let mut received = 0;
    let mut buffer = vec![0; 4096];
    while let Ok(n @ 1..) =
        timeout(Duration::from_secs(20), stream.read(&mut buffer)).await.expect("end of the connection")
    {
        received += n;
    }
    received
}

/// Polls a future once, and returns its output if it is ready.
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
