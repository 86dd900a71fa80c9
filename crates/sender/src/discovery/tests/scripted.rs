//! A discovery that writes what it is told to, byte for byte, and a watch before it.

use rudderspindle_policy::interface::Discovery;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

use super::*;

/// Nothing here takes so long unless it is broken.
const BROKEN: Duration = Duration::from_secs(20);
pub(super) async fn soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(BROKEN, future).await.unwrap_or_else(|_| panic!("in vain: {what}"))
}

/// Discovery, or an agent of it: each request comes with the connection to answer it on.
pub(super) struct Scripted {
    pub(super) listener: TcpListener,
    pub(super) addr: SocketAddr,
}

impl Scripted {
    pub(super) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        Self { listener, addr }
    }

    /// The next connection, and what it asks for.
    pub(super) async fn asked(&self) -> (String, TcpStream) {
        let (mut stream, _) = soon("a connection", self.listener.accept()).await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let read = soon("a request", stream.read_buf(&mut head)).await.expect("readable");
            assert!(read > 0, "the request ends early");
        }
        let head = String::from_utf8(head).expect("text");
        (head.split(' ').nth(1).expect("a target").to_owned(), stream)
    }

    /// The next watch, and from which revision on.
    pub(super) async fn watched(&self) -> (u64, TcpStream) {
        let (target, stream) = self.asked().await;
        let from = target.strip_prefix("/api/targets?watch=1&from=").expect("a watch");
        (from.parse().expect("a revision"), stream)
    }

    /// The next connection has to ask for the whole list.
    pub(super) async fn asked_for_all(&self) -> TcpStream {
        let (target, stream) = self.asked().await;
        assert_eq!(target, "/api/targets");
        stream
    }
}

pub(super) const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(super) async fn say(stream: &mut TcpStream, bytes: impl AsRef<[u8]>) {
    stream.write_all(bytes.as_ref()).await.expect("writable");
}

/// Bytes as a chunk of a watch.
pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A whole answer.
pub(super) fn answer(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

/// A list without anybody on it.
pub(super) fn list(revision: u64) -> String {
    json!({"revision": revision, "complete": true, "members": []}).to_string()
}

/// A watch that goes on until the test is over, of one among so many senders.
pub(super) struct Watched {
    pub(super) address: watch::Sender<SocketAddr>,
    pub(super) inputs: mpsc::Receiver<Input>,
}

pub(super) fn begin(discovery: Discovery, at: SocketAddr, revision: Option<u64>) -> Watched {
    let (address, watched) = watch::channel(at);
    let (host, inputs) = mpsc::channel(16);
    spawn_local(super::watch(watched, revision, PollSchedule::new(discovery, 1, 1), host));
    Watched { address, inputs }
}

pub(super) fn pushed(at: SocketAddr, revision: Option<u64>) -> Watched {
    begin(Discovery::Pushed, at, revision)
}

impl Watched {
    /// The revision of the next list that is told.
    pub(super) async fn told(&mut self) -> u64 {
        match soon("a list", self.inputs.recv()).await {
            Some(Input::List(list)) => list.revision,
            other => panic!("{other:?}"),
        }
    }
}

/// Waits until the other end closes, which must not have written any more.
pub(super) async fn closed(stream: &mut TcpStream) {
    // A reset is an end as well.
    let read = soon("a close", stream.read(&mut [0; 16])).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

pub(super) async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}
