//! Fixtures of the tests of the built program: its peers, its state folder and the program itself.
#![allow(dead_code, reason = "each test file uses its part")]

mod program;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
pub use program::*;
pub use rudderspindle_testkit::scripted_peers::*;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Deadline of the messages of most tests, in milliseconds: longer than any test takes.
pub const DEADLINE_MS: f64 = 60_000.0;

/// How soon a client whose request cannot be read gets an error or a closed connection.
pub const REJECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of most messages.
pub fn text() -> Bytes {
    Bytes::from_static(b"text")
}

/// The notification that a message is undeliverable, as [`FakePlatform::report`] returns it.
pub fn undeliverable(message_id: &str) -> (String, String) {
    (message_id.to_owned(), "undeliverable".to_owned())
}

/// Collects notifications until there are `count` of them, and sorts them by message id.
pub async fn notifications(platform: &mut FakePlatform, count: usize) -> Vec<(String, String)> {
    let mut all = Vec::new();
    while all.len() < count {
        all.extend(platform.report().await.0);
    }
    all.sort();
    all
}

/// Submits messages until one reaches the receiver, which needs the endpoint list that names it.
pub async fn submit_until_called(program: &Program, receiver: &mut Receiver) {
    while receiver.nothing_called() {
        program.hand_in("safe", "probe", text()).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a platform and one receiver, which its endpoint list names for destination 7; with a configuration for them.
pub async fn start_peers(acts: &[Act], deadline_ms: f64) -> (FakePlatform, Receiver, Value) {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(acts).await);
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], deadline_ms);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    (platform, receiver, config)
}

/// A listener whose connections take few bytes at a time: a large body cannot leave the sender at once.
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

/// A platform, one receiver for destination 7 and a sender, with a deadline for its messages.
pub async fn set_up(acts: &[Act], deadline: f64) -> (FakePlatform, Receiver, Program, Folder, Value) {
    let (platform, receiver, config) = start_peers(acts, deadline).await;
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, receiver, program, folder, config)
}

/// A temporary folder, removed when dropped, and the path of the state in it.
pub type Folder = (TempDir, PathBuf);

/// A listening socket that programs inherit and that outlasts them.
pub fn inherited_listener() -> Socket {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(128).expect("it listens");
    listener.set_cloexec(false).expect("children have it");
    listener
}

/// A state folder that outlasts programs.
pub fn lasting() -> Folder {
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state");
    std::fs::create_dir(&state).expect("a folder");
    (folder, state)
}

/// The bytes of all files in the folder, each in whole blocks.
pub fn disk_use(state: &Path) -> u64 {
    let files = std::fs::read_dir(state).expect("a folder");
    // A segment may be removed while this looks.
    files.filter_map(|f| f.ok()?.metadata().ok()).map(|m| m.len().next_multiple_of(512)).sum()
}
