//! An endpoint and the listener that it connects to.

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
/// Deadline of calls that are answered before it.
pub const LONG: Duration = Duration::from_secs(20);
/// The deadline of calls that are not answered before it.
pub const SHORT: Duration = Duration::from_millis(300);

/// Error codes (RFC 9113, 7).
pub const NO_ERROR: u32 = 0x0;
pub const INTERNAL_ERROR: u32 = 0x2;
pub const REFUSED_STREAM: u32 = 0x7;
pub const CANCEL: u32 = 0x8;
pub const ENHANCE_YOUR_CALM: u32 = 0xb;
pub const HTTP_1_1_REQUIRED: u32 = 0xd;

/// Function that opens a connection; the same type in all tests.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The listener of a gateway, and the endpoint of a client that connects to it.
pub struct Harness<Connect> {
    pub endpoint: Rc<Endpoint<Connect>>,
    listener: TcpListener,
    connects: Rc<Cell<usize>>,
}

/// Starts listening, without a connection.
pub async fn start(limits: PoolLimits) -> Harness<impl Fn() -> Connecting> {
    let (listener, address) = listen().await;
    let connects = Rc::new(Cell::new(0));
    let count = connects.clone();
    let endpoint = Endpoint::new(limits, move || -> Connecting {
        count.set(count.get() + 1);
        Box::pin(TcpStream::connect(address))
    });
    Harness { endpoint, listener, connects }
}

impl<Connect: Fn() -> Connecting + 'static> Harness<Connect> {
    /// Accepts the next connection of the client.
    pub async fn accept(&self) -> Frames {
        self.accept_with_window(WINDOW_SIZE).await
    }

    /// Starts and answers a call, after which the client may send no body without a `WINDOW_UPDATE` for its stream.
    pub async fn accept_with_closed_windows(&self) -> Frames {
        // The first request is sent before the gateway has announced its windows.
        let first = self.call(LONG);
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

    /// Starts a call with this response deadline.
    pub fn call(&self, time: Duration) -> JoinHandle<CallOutcome> {
        self.call_with_deadlines(deadlines(time))
    }

    /// Starts a call with these deadlines.
    pub fn call_with_deadlines(&self, deadlines: CallDeadlines) -> JoinHandle<CallOutcome> {
        let endpoint = self.endpoint.clone();
        spawn_local(async move { endpoint.call(request(), Bytes::from_static(b"text"), deadlines).await })
    }

    /// Checks that the next call opens a connection and is answered on it; returns the gateway's end of the connection.
    pub async fn check_call_on_new_connection(&self) -> Frames {
        let call = self.call(LONG);
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

/// Listens on a free port.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A request without its body.
pub fn request() -> Request<()> {
    Request::post("http://gw.example.org/drop").body(()).expect("a request")
}

/// Both deadlines after this duration.
pub fn deadlines(time: Duration) -> CallDeadlines {
    let deadline = Instant::now() + time;
    CallDeadlines { response: deadline, request: deadline }
}

/// The outcome of a call that is expected to end soon.
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

/// Runs a test on a [`LocalSet`], which the client needs.
pub async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}
