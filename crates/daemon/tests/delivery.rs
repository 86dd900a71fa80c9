//! Delivery of a message to a receiver: responses, broken calls, pooled connections and Retry-After.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::fixture::{Fixture, set_up};
use common::folder::persistent_folder;
use common::program::Program;
use common::{DEADLINE_MS, body, listener_with_small_window};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Notification, ScriptedResponse, config, member, with_timeout,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test]
async fn a_message_is_forwarded_unchanged() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } = set_up(&[], DEADLINE_MS).await;
    assert_eq!(program.readiness().await, 200);
    let sent = Bytes::from_iter(0..=255u8);
    assert_eq!(program.submit("keyed", "m1", sent.clone()).await.status(), 202);
    let call = receiver.next_call().await;
    assert_eq!((call.message_id.as_str(), call.body), ("m1", sent));
    assert_eq!(call.headers["idempotency-key"], "key-m1");
    let left: f64 = call.headers["x-remaining"].to_str().expect("text").parse().expect("a number");
    assert!(left > 0.0 && left <= DEADLINE_MS / 1_000.0, "{left}");
    assert!(platform.has_no_notifications());
}

#[tokio::test]
async fn a_call_broken_after_its_last_byte_counts_as_possibly_executed() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::Disconnect, ScriptedResponse::Disconnect], DEADLINE_MS).await;
    assert_eq!(program.submit("once", "m1", body()).await.status(), 202);
    receiver.next_call().await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    program.submit("safe", "m2", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m2");
    assert_eq!(receiver.next_call().await.message_id, "m2");
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn a_call_broken_before_its_last_byte_counts_as_never_executed() {
    let listener = listener_with_small_window();
    let platform = FakePlatform::start().await;
    let addr = listener.local_addr().expect("an address");
    let config = config(platform.addr, &[member("r1", addr, 7, "SERVING")], DEADLINE_MS);
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    let large = Bytes::from(vec![b'x'; 64 * 1024]);
    assert_eq!(program.submit("once", "m1", large.clone()).await.status(), 202);
    let (mut stream, _) = with_timeout("a connection", listener.accept()).await.expect("a connection");
    let mut head = [0; 100];
    with_timeout("a head", stream.read_exact(&mut head)).await.expect("a head");
    // Unread bytes: closing resets the connection.
    drop(stream);
    let (mut stream, _) = with_timeout("another attempt", listener.accept()).await.expect("a connection");
    let mut got = 0;
    let mut buffer = vec![0; 4096];
    while got < large.len() {
        got += with_timeout("the body", stream.read(&mut buffer)).await.expect("bytes");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
}

#[tokio::test]
async fn a_pooled_connection_that_the_receiver_closed_costs_no_attempt() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::OkThenClose; 5], DEADLINE_MS).await;
    for message_id in ["m1", "m2", "m3", "m4", "m5"] {
        assert_eq!(program.submit("once", message_id, body()).await.status(), 202);
        assert_eq!(receiver.next_call().await.message_id, message_id);
        // The receiver closes 5 ms after its response; the sender has time to see it.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

#[tokio::test]
async fn a_retry_after_holds_for_every_message() {
    let wait = Duration::from_millis(700);
    let responses = [ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "700")];
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&responses, DEADLINE_MS).await;
    program.submit("safe", "m1", body()).await;
    let received_at = receiver.next_call().await.at;
    for message_id in ["m2", "m3", "m4"] {
        assert_eq!(program.submit("safe", message_id, body()).await.status(), 202);
    }
    for _ in 0..4 {
        let waited = receiver.next_call().await.at - received_at;
        assert!(waited >= wait, "{waited:?}");
    }
}

#[tokio::test]
async fn responses_that_mean_not_sent_are_each_handled_as_specified() {
    let responses = [
        // No free slot: not executed, so that even an at-most-once message is retried.
        ScriptedResponse::StatusWithHeader(503, "x-egress-full", "1"),
        ScriptedResponse::Status(200),
        // All attempts used: the final outcome is due at once.
        ScriptedResponse::Status(504),
        // Complete: no notification is due.
        ScriptedResponse::Status(410),
    ];
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&responses, DEADLINE_MS).await;
    program.submit("once", "m1", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m1");
    assert_eq!(receiver.next_call().await.message_id, "m1");
    program.submit("safe", "m2", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m2");
    assert_eq!(platform.next_notifications().await.notifications, [Notification::deferred("m2")]);
    program.submit("safe", "m3", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m3");
    program.submit("safe", "m4", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m4");
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}
