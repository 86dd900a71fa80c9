//! Delivery of a message to a receiver: responses, broken calls, pooled connections and Retry-After.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test]
async fn a_message_is_forwarded_unchanged() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[], DEADLINE_MS).await;
    assert_eq!(program.readiness().await, 200);
    let sent = Bytes::from_iter(0..=255u8);
    assert_eq!(program.hand_in("keyed", "m1", sent.clone()).await.status(), 202);
    let call = receiver.call().await;
    assert_eq!((call.message_id.as_str(), call.body), ("m1", sent));
    assert_eq!(call.headers["idempotency-key"], "key-m1");
    let left: f64 = call.headers["x-remaining"].to_str().expect("text").parse().expect("a number");
    assert!(left > 0.0 && left <= DEADLINE_MS / 1_000.0, "{left}");
    assert!(platform.nothing_reported());
}

#[tokio::test]
async fn a_call_broken_after_its_last_byte_counts_as_possibly_executed() {
    let (mut platform, mut receiver, program, _folder, _) =
        set_up(&[Act::Break, Act::Break], DEADLINE_MS).await;
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    receiver.call().await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    program.hand_in("safe", "m2", text()).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    assert_eq!(receiver.call().await.message_id, "m2");
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_call_broken_before_its_last_byte_counts_as_never_executed() {
    let listener = listener_with_small_window();
    let platform = FakePlatform::start().await;
    let addr = listener.local_addr().expect("an address");
    let config = config(platform.addr, &[member("r1", addr, 7, "SERVING")], DEADLINE_MS);
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let large = Bytes::from(vec![b'x'; 64 * 1024]);
    assert_eq!(program.hand_in("once", "m1", large.clone()).await.status(), 202);
    let (mut stream, _) = soon("a connection", listener.accept()).await.expect("a connection");
    let mut head = [0; 100];
    soon("a head", stream.read_exact(&mut head)).await.expect("a head");
    // Bytes that nobody has read: closing resets the connection.
    drop(stream);
    let (mut stream, _) = soon("another attempt", listener.accept()).await.expect("a connection");
    let mut got = 0;
    let mut buffer = vec![0; 4096];
    while got < large.len() {
        got += soon("the body", stream.read(&mut buffer)).await.expect("bytes");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
}

#[tokio::test]
async fn a_pooled_connection_that_the_receiver_closed_costs_no_attempt() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::SayAndClose; 5], DEADLINE_MS).await;
    for message_id in ["m1", "m2", "m3", "m4", "m5"] {
        assert_eq!(program.hand_in("once", message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
        // The receiver closes 5 ms after its answer; the sender has to have seen it by now.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn a_retry_after_holds_for_every_message() {
    let wait = Duration::from_millis(700);
    let acts = [Act::Say(429, Some(("x-backoff-ms", "700")))];
    let (_platform, mut receiver, program, _folder, _) = set_up(&acts, DEADLINE_MS).await;
    program.hand_in("safe", "m1", text()).await;
    let received_at = receiver.call().await.at;
    for message_id in ["m2", "m3", "m4"] {
        assert_eq!(program.hand_in("safe", message_id, text()).await.status(), 202);
    }
    for _ in 0..4 {
        let waited = receiver.call().await.at - received_at;
        assert!(waited >= wait, "{waited:?}");
    }
}

#[tokio::test]
async fn responses_that_mean_not_sent_are_each_handled_as_specified() {
    let acts = [
        // All slots taken: never ran, so even an unsafe message goes again.
        Act::Say(503, Some(("x-egress-full", "1"))),
        Act::Say(200, None),
        // All attempts used: its final outcome is still due, at once.
        Act::Say(504, None),
        // Complete: no notification is due.
        Act::Say(410, None),
    ];
    let (mut platform, mut receiver, program, _folder, _) = set_up(&acts, DEADLINE_MS).await;
    program.hand_in("once", "m1", text()).await;
    assert_eq!(receiver.call().await.message_id, "m1");
    assert_eq!(receiver.call().await.message_id, "m1");
    program.hand_in("safe", "m2", text()).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    assert_eq!(platform.report().await.0, [("m2".to_owned(), "deferred".to_owned())]);
    program.hand_in("safe", "m3", text()).await;
    assert_eq!(receiver.call().await.message_id, "m3");
    program.hand_in("safe", "m4", text()).await;
    assert_eq!(receiver.call().await.message_id, "m4");
    assert!(receiver.nothing_called() && platform.nothing_reported());
}
