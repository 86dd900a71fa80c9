//! Calls broken at a given moment: whether the message counts as possibly executed and is retried.

mod common;

use bytes::Bytes;
use common::folder::{Folder, persistent_folder};
use common::program::Program;
use common::{DEADLINE_MS, body, listener_with_small_window};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, GOOD, Notification, config, member, read_until_close, with_timeout,
};
use serde_json::Value;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A sender whose receiver is played by the test, byte for byte.
struct ScriptedReceiver {
    platform: FakePlatform,
    listener: TcpListener,
    program: Program,
    _folder: Folder,
    _config: Value,
}

impl ScriptedReceiver {
    async fn start(listener: TcpListener) -> Self {
        let platform = FakePlatform::start().await;
        let addr = listener.local_addr().expect("an address");
        let config = config(platform.addr, &[member("r1", addr, 7, "SERVING")], DEADLINE_MS);
        platform.set_list(config["known"].clone());
        let folder = persistent_folder();
        let program = Program::start(&config, &folder.state).await;
        Self { platform, listener, program, _folder: folder, _config: config }
    }

    async fn submit(&self, class: &str, message_id: &str) {
        assert_eq!(self.program.submit(class, message_id, body()).await.status(), 202);
    }

    async fn accept(&self) -> TcpStream {
        with_timeout("a connection", self.listener.accept()).await.expect("a connection").0
    }
}

async fn any_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// Reads one call and returns its message id.
async fn call(stream: &mut TcpStream) -> String {
    let mut seen = Vec::new();
    // Each body ends with these bytes, and no head does.
    while !seen.ends_with(b"text") {
        assert!(
            with_timeout("a call", stream.read_buf(&mut seen)).await.expect("bytes") > 0,
            "it ends too early"
        );
    }
    let head = String::from_utf8_lossy(&seen).into_owned();
    assert_eq!(head.matches("POST ").count(), 1, "one call: {head}");
    head.lines().find_map(|l| l.strip_prefix("x-txn: ")).expect("an id").to_owned()
}

fn reset(stream: TcpStream) {
    stream.set_zero_linger().expect("it can be reset");
}

/// The status line decides, even if the rest of the response is lost.
#[tokio::test]
async fn a_reset_between_a_status_line_of_200_and_its_end_is_a_delivery() {
    let mut scripted = ScriptedReceiver::start(any_port().await).await;
    scripted.submit("safe", "m1").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m1");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Len").await.expect("writable");
    reset(stream);
    // The next call is another message: the first one is not retried.
    scripted.submit("once", "m2").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m2");
    stream.write_all(GOOD).await.expect("writable");
    assert!(scripted.platform.has_no_notifications());
}

/// A pooled connection closes after a request was written to it, which counts as a possible execution: an idempotent
/// message is retried, an at-most-once message is not, neither by the sender nor by the HTTP library.
#[tokio::test]
async fn a_pooled_connection_that_closes_under_a_request_is_a_reset_without_resend() {
    let mut scripted = ScriptedReceiver::start(any_port().await).await;
    scripted.submit("once", "m1").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m1");
    stream.write_all(GOOD).await.expect("writable");
    // On the same connection: no other one is accepted.
    scripted.submit("once", "m2").await;
    assert_eq!(call(&mut stream).await, "m2");
    drop(stream);
    assert_eq!(
        scripted.platform.next_notifications().await.notifications,
        [Notification::undeliverable("m2")]
    );
    scripted.submit("safe", "m3").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m3", "m2 was sent again");
    stream.write_all(GOOD).await.expect("writable");
    scripted.submit("safe", "m4").await;
    assert_eq!(call(&mut stream).await, "m4");
    reset(stream);
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m4");
    stream.write_all(GOOD).await.expect("writable");
    scripted.submit("safe", "m5").await;
    assert_eq!(call(&mut stream).await, "m5", "m4 was sent a third time");
    assert!(scripted.platform.has_no_notifications());
}

/// The bytes of a call in the kernel's buffers are discarded with the program: otherwise the call could be executed after
/// the restart, even after its idempotency key has expired.
#[tokio::test]
async fn nothing_of_a_call_arrives_after_the_program_was_killed() {
    let scripted = ScriptedReceiver::start(listener_with_small_window()).await;
    let large = Bytes::from(vec![b'x'; 60_000]);
    assert_eq!(scripted.program.submit("once", "m1", large.clone()).await.status(), 202);
    let mut stream = scripted.accept().await;
    stream.readable().await.expect("the first bytes");
    scripted.program.kill().await;
    let read = read_until_close(&mut stream).await.len();
    let unread = SockRef::from(&stream).recv_buffer_size().expect("a size");
    // Not more than had arrived before the kill.
    assert!(read <= unread, "{read} bytes arrived in a buffer of {unread}");
}
