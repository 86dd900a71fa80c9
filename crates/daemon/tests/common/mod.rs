//! Fixtures of the tests of the built program: its peers, its state folder and the program itself.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod fixture;
pub mod folder;
pub mod program;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use program::Program;
use rudderspindle_testkit::scripted_peers::{FakePlatform, Notification, Receiver, with_timeout};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Deadline of the messages of most tests, in milliseconds: longer than any test takes.
pub const DEADLINE_MS: f64 = 60_000.0;
/// Time within which a malformed request gets an error or a closed connection.
pub const REJECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two probes for a call.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// The body of most messages.
pub fn body() -> Bytes {
    Bytes::from_static(b"text")
}

/// Collects notifications until there are `count` of them, and sorts them by message id.
pub async fn next_notifications(platform: &mut FakePlatform, count: usize) -> Vec<Notification> {
    let mut all = Vec::new();
    while all.len() < count {
        all.extend(platform.next_notifications().await.notifications);
    }
    all.sort();
    all
}

/// Number of the next message that [`submit_until_called`] submits.
static NEXT_PROBE: AtomicU64 = AtomicU64::new(0);

/// Submits messages until one reaches the receiver, which needs the endpoint list that names it.
pub async fn submit_until_called(program: &Program, receiver: &mut Receiver) {
    while receiver.has_no_calls() {
        let number = NEXT_PROBE.fetch_add(1, Ordering::Relaxed);
        program.submit("safe", &format!("probe-{number}"), body()).await;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Reads until the peer closes the connection without a reset.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    with_timeout("a response and a close", stream.read_to_string(&mut text)).await.expect("no reset");
    text
}

/// Sends a request to a control listener and returns the whole response.
pub async fn control_response(control: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(control).await.expect("a connection");
    stream.write_all(request).await.expect("writable");
    read_to_end(&mut stream).await
}

/// A listener whose connections accept few bytes at a time: a large body cannot leave the sender at once.
pub fn listener_with_small_window() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_tcp_mss(536).expect("a segment size");
    socket.set_recv_buffer_size(2_048).expect("a window");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(16).expect("a listener");
    socket.set_nonblocking(true).expect("non-blocking");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// A listening socket that programs inherit and that outlasts them.
pub fn inherited_listener() -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(128).expect("it listens");
    listener.set_cloexec(false).expect("children have it");
    listener
}
