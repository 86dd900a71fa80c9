//! Test harness: an endpoint of the client, and the gateway's listener to which it connects.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use rudderspindle_http2::client::{CallDeadlines, CallOutcome, Endpoint};
use rudderspindle_http2::outcome::StreamOutcome;
use rudderspindle_http2::pool::PoolLimits;
use rudderspindle_testkit::frames::Frames;
use rudderspindle_testkit::scripted_peers::with_timeout;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

/// Default number of concurrent streams that the gateway allows.
pub const MAX_STREAMS: u32 = 100;
/// Default initial flow-control window of a stream, in bytes (RFC 9113, 6.9.2).
pub const WINDOW_SIZE: u32 = 65_535;
/// Timeout of calls that are expected to end earlier.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of calls that are expected to end because of it.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Error codes (RFC 9113, 7).
pub const NO_ERROR: u32 = 0x0;
pub const INTERNAL_ERROR: u32 = 0x2;
pub const REFUSED_STREAM: u32 = 0x7;
pub const CANCEL: u32 = 0x8;
pub const ENHANCE_YOUR_CALM: u32 = 0xb;
pub const HTTP_1_1_REQUIRED: u32 = 0xd;

/// Future of a connection attempt, boxed so that it has one type in all tests.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The listener of a gateway, and the endpoint of a client that connects to it.
pub struct Harness<Connect> {
    pub endpoint: Rc<Endpoint<Connect>>,
    listener: TcpListener,
    /// Number of connections that the client has tried to open.
    connects: Rc<Cell<usize>>,
}

/// Starts the listener, and creates an endpoint without connections.
pub async fn start(limits: PoolLimits) -> Harness<impl Fn() -> Connecting> {
    let (listener, address) = listen().await;
    let connects = Rc::new(Cell::new(0));
    let connect_count = connects.clone();
    let endpoint = Endpoint::new(limits, move || -> Connecting {
        connect_count.set(connect_count.get() + 1);
        Box::pin(TcpStream::connect(address))
    });
    Harness { endpoint, listener, connects }
}

impl<Connect: Fn() -> Connecting + 'static> Harness<Connect> {
    /// Accepts the next connection of the client, with the default flow-control window.
    pub async fn accept(&self) -> Frames {
        self.accept_with_window(WINDOW_SIZE).await
    }

    /// Accepts a connection on which the client may send no body without a `WINDOW_UPDATE` for its stream.
    ///
    /// Opens it with a call, which is answered.
    pub async fn accept_with_closed_windows(&self) -> Frames {
        // The first request is sent before the client receives the window size of the gateway.
        let first = self.call(LONG_TIMEOUT);
        let mut gateway = self.accept_with_window(0).await;
        let stream = gateway.request().await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(first).await, complete(response(200)));
        gateway
    }

    async fn accept_with_window(&self, window_size: u32) -> Frames {
        let (transport, _) =
            with_timeout("a connection", self.listener.accept()).await.expect("a connection");
        Frames::accept(transport, MAX_STREAMS, window_size).await
    }

    /// Starts a call with both deadlines at this duration from now.
    pub fn call(&self, timeout: Duration) -> JoinHandle<CallOutcome> {
        self.call_with_deadlines(deadlines(timeout))
    }

    /// Starts a call with these deadlines.
    pub fn call_with_deadlines(&self, deadlines: CallDeadlines) -> JoinHandle<CallOutcome> {
        let endpoint = self.endpoint.clone();
        spawn_local(async move { endpoint.call(request(), Bytes::from_static(b"text"), deadlines).await })
    }

    /// Checks that the next call opens a connection and is answered on it; returns the gateway's side of the
    /// connection.
    pub async fn check_call_on_new_connection(&self) -> Frames {
        let call = self.call(LONG_TIMEOUT);
        let mut gateway = self.accept().await;
        let stream = gateway.request().await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(call).await, complete(response(200)));
        gateway
    }

    /// Number of connections that the client has tried to open.
    pub fn connects(&self) -> usize {
        self.connects.get()
    }
}

/// Listens on a free port of the loopback address.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns the head of a request.
pub fn request() -> Request<()> {
    Request::post("http://gw.example.org/drop").body(()).expect("a request")
}

/// Returns two equal deadlines at this duration from now.
pub fn deadlines(timeout: Duration) -> CallDeadlines {
    let deadline = Instant::now() + timeout;
    CallDeadlines { response: deadline, request: deadline }
}

/// Waits for the outcome of a call; panics if the call takes too long.
pub async fn outcome(call: JoinHandle<CallOutcome>) -> CallOutcome {
    with_timeout("the end of a call", call).await.expect("a call")
}

/// The outcome of a call whose request was sent completely.
pub fn complete(stream: StreamOutcome) -> CallOutcome {
    CallOutcome { stream, request_complete: true }
}

/// The outcome of a call whose request was not sent completely.
pub fn incomplete(stream: StreamOutcome) -> CallOutcome {
    CallOutcome { stream, request_complete: false }
}

/// A response without `Retry-After`.
pub fn response(status: u16) -> StreamOutcome {
    StreamOutcome::Response { status, retry_after: None }
}

/// A stream that the gateway reset.
pub fn reset(error_code: u32) -> StreamOutcome {
    StreamOutcome::Reset { error_code }
}

/// Runs a test on a [`LocalSet`], because the client spawns local tasks.
pub async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}
