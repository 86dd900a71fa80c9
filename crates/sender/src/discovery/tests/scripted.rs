//! A discovery server whose responses are scripted byte by byte, and a running watch of that server.

use std::net::SocketAddr;
use std::time::Duration;

use rudderspindle_policy::interface::Discovery;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::event::Input;
use crate::poll_schedule::PollSchedule;

/// Timeout of each step, far longer than any step takes unless the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for `future`; the test fails after [`TEST_TIMEOUT`].
pub(super) async fn in_time<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, future).await.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// A discovery server or a local agent. The test accepts each request and writes the response on its connection.
pub(super) struct ScriptedDiscovery {
    pub(super) listener: TcpListener,
    pub(super) addr: SocketAddr,
}

impl ScriptedDiscovery {
    pub(super) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        Self { listener, addr }
    }

    /// Accepts the next request; returns its target and its connection.
    pub(super) async fn accept_request(&self) -> (String, TcpStream) {
        let (mut stream, _) = in_time("a connection", self.listener.accept()).await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let read = in_time("a request", stream.read_buf(&mut head)).await.expect("readable");
            assert!(read > 0, "the request ends early");
        }
        let head = String::from_utf8(head).expect("text");
        (head.split(' ').nth(1).expect("a target").to_owned(), stream)
    }

    /// Accepts the next request, which must open a watch; returns its `from` revision and its connection.
    pub(super) async fn accept_watch(&self) -> (u64, TcpStream) {
        let (target, stream) = self.accept_request().await;
        let from = target.strip_prefix("/api/targets?watch=1&from=").expect("a watch");
        (from.parse().expect("a revision"), stream)
    }

    /// Accepts the next request, which must be for the full list; returns its connection.
    pub(super) async fn accept_full_list_request(&self) -> TcpStream {
        let (target, stream) = self.accept_request().await;
        assert_eq!(target, "/api/targets");
        stream
    }
}

/// Head of the response that opens a watch.
pub(super) const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(super) async fn write(stream: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    stream.write_all(bytes.as_ref()).await.expect("writable");
}

/// A chunk in the chunked encoding of the body of a watch.
pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A complete response with this body.
pub(super) fn full_response(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// A full list without members.
pub(super) fn list_json(revision: u64) -> String {
    json!({"revision": revision, "complete": true, "members": []}).to_string()
}

/// A watch that runs until the end of the test.
pub(super) struct RunningWatch {
    /// Changes the address of discovery that the watch uses.
    pub(super) address_sender: watch::Sender<SocketAddr>,
    /// Receives the inputs that the watch sends to the engine.
    pub(super) inputs: mpsc::Receiver<Input>,
}

/// Starts a watch of the server at `at` for the changes after `revision`, or with the full list if `revision` is `None`.
pub(super) fn start_watch(discovery: Discovery, at: SocketAddr, revision: Option<u64>) -> RunningWatch {
    let (address_sender, configured_address) = watch::channel(at);
    let (to_engine, inputs) = mpsc::channel(16);
    spawn_local(crate::discovery::watch(
        configured_address,
        revision,
        // One sender, with 1 as the seed of the jitter.
        PollSchedule::new(discovery, 1, 1),
        to_engine,
    ));
    RunningWatch { address_sender, inputs }
}

/// Starts a watch of a local agent, which pushes changes. The watch connects at once, and reconnects after a short
/// constant delay.
pub(super) fn start_agent_watch(at: SocketAddr, revision: Option<u64>) -> RunningWatch {
    start_watch(Discovery::Pushed, at, revision)
}

impl RunningWatch {
    /// The revision of the next list that the engine receives.
    pub(super) async fn next_revision(&mut self) -> u64 {
        match in_time("a list", self.inputs.recv()).await {
            Some(Input::List(list)) => list.revision,
            other => panic!("input is {other:?}: must be a list"),
        }
    }
}

/// Waits until the watch closes or resets the connection. The test fails if the watch sends another byte.
pub(super) async fn wait_until_closed(stream: &mut TcpStream) {
    let read = in_time("the close of a connection", stream.read(&mut [0; 16])).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

/// Runs a test in a set of tasks that are local to its thread, as `spawn_local` requires.
pub(super) async fn run_local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}
