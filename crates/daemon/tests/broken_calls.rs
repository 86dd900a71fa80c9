//! Calls broken at a forced moment: whether the message is possibly executed, and whether it is retried.

mod common;

use bytes::Bytes;
use common::*;
use serde_json::Value;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A sender before a receiver that the test plays itself, byte for byte.
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
        *platform.list.lock().expect("a list") = Some(config["known"].clone());
        let folder = lasting();
        let program = Program::start(&config, &folder.1).await;
        Self { platform, listener, program, _folder: folder, _config: config }
    }

    async fn hand_in(&self, class: &str, message_id: &str) {
        assert_eq!(self.program.hand_in(class, message_id, text()).await.status(), 202);
    }

    async fn accept(&self) -> TcpStream {
        soon("a connection", self.listener.accept()).await.expect("a connection").0
    }
}

async fn any_port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// Reads one call to its last byte: the message's id.
async fn call(stream: &mut TcpStream) -> String {
    let mut seen = Vec::new();
    // All bodies here end so, and no head does.
    while !seen.ends_with(b"text") {
        assert!(soon("a call", stream.read_buf(&mut seen)).await.expect("bytes") > 0, "it ends too early");
    }
    let head = String::from_utf8_lossy(&seen).into_owned();
    assert_eq!(head.matches("POST ").count(), 1, "one call: {head}");
    head.lines().find_map(|l| l.strip_prefix("x-txn: ")).expect("an id").to_owned()
}

fn reset(stream: TcpStream) {
    stream.set_zero_linger().expect("it can be reset");
}

/// The status line decides: delivered, whatever becomes of the rest.
#[tokio::test]
async fn a_reset_between_a_status_line_of_200_and_its_end_is_a_delivery() {
    let mut scripted = ScriptedReceiver::start(any_port().await).await;
    scripted.hand_in("safe", "m1").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m1");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Len").await.expect("writable");
    reset(stream);
    // What comes next is another message, so that the first one did not go again.
    scripted.hand_in("once", "m2").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m2");
    stream.write_all(GOOD).await.expect("writable");
    assert!(scripted.platform.nothing_reported());
}

/// A kept connection is closed when the next request has been written to it: that may have run. Neither we nor
/// the HTTP library send it again where it may not be repeated; where it may, it goes once more.
#[tokio::test]
async fn a_pooled_connection_that_closes_under_a_request_is_a_reset_without_resend() {
    let mut scripted = ScriptedReceiver::start(any_port().await).await;
    scripted.hand_in("once", "m1").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m1");
    stream.write_all(GOOD).await.expect("writable");
    // On the same connection, as nothing else is accepted.
    scripted.hand_in("once", "m2").await;
    assert_eq!(call(&mut stream).await, "m2");
    drop(stream);
    assert_eq!(scripted.platform.report().await.0, [undeliverable("m2")]);
    scripted.hand_in("safe", "m3").await;
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m3", "m2 went again");
    stream.write_all(GOOD).await.expect("writable");
    scripted.hand_in("safe", "m4").await;
    assert_eq!(call(&mut stream).await, "m4");
    reset(stream);
    let mut stream = scripted.accept().await;
    assert_eq!(call(&mut stream).await, "m4");
    stream.write_all(GOOD).await.expect("writable");
    scripted.hand_in("safe", "m5").await;
    assert_eq!(call(&mut stream).await, "m5", "m4 went a third time");
    assert!(scripted.platform.nothing_reported());
}

/// What the system holds of a call when the program dies goes with it: it would run after the restart has counted
/// it as one that may have run, and perhaps after its key is forgotten.
#[tokio::test]
async fn nothing_of_a_call_arrives_after_the_program_was_killed() {
    let scripted = ScriptedReceiver::start(listener_with_small_window()).await;
    let large = Bytes::from(vec![b'x'; 60_000]);
    assert_eq!(scripted.program.hand_in("once", "m1", large.clone()).await.status(), 202);
    let mut stream = scripted.accept().await;
    stream.readable().await.expect("the first bytes");
    scripted.program.kill().await;
    let read = rest(&mut stream).await.len();
    let unread = SockRef::from(&stream).recv_buffer_size().expect("a size");
    // No more than had come by then.
    assert!(read <= unread, "{read} bytes came, where {unread} had room");
}
