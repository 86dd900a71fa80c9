//! Retries of a keyed message: within the idempotency window from its first attempt, where its key is known.

mod common;

use std::time::{Duration, Instant};

use common::*;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// As short as settings have it.
const WINDOW: Duration = Duration::from_secs(1);

/// An attempt that is never answered may have run. Its repeats come before the receivers of its zone forget the
/// key, and to no other zone; then the message ends.
#[tokio::test]
async fn retries_come_within_the_window_and_only_where_the_key_is_known() {
    let platform = FakePlatform::start().await;
    let mut known = Receiver::start(&[Act::Hang; 8]).await;
    let mut elsewhere = Receiver::start(&[]).await;
    let mut far = member("r2", elsewhere.addr, 7, "SERVING");
    far["locality"] = "b".into();
    // After a failure the far one would go first.
    let members = [member("r1", known.addr, 7, "SERVING"), far];
    let mut config = config(platform.addr, &members, DEADLINE_MS);
    config["settings"]["lanes"][1]["window"] = (WINDOW.as_millis() as f64).into();
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let (folder, mut platform) = (lasting(), platform);
    let program = Program::start(&config, &folder.1).await;
    let handed_in = Instant::now();
    assert_eq!(program.hand_in("keyed", "m1", text()).await.status(), 202);
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    // The window starts no earlier than the submission.
    assert!(handed_in.elapsed() < WINDOW + Duration::from_millis(500), "{:?}", handed_in.elapsed());
    let mut calls = Vec::new();
    while let Ok(call) = known.calls.try_recv() {
        calls.push(call.at);
    }
    assert!(calls.len() >= 2, "it was not repeated");
    let last = *calls.last().expect("a call") - calls[0];
    assert!(last < WINDOW, "the last one came {last:?} after the first");
    assert!(elsewhere.nothing_called(), "it went where its key is not known");
}

/// The repeat's connection does not come up before the window is over: nothing of it goes when it does.
#[tokio::test]
async fn a_retry_whose_connection_is_established_after_the_window_is_not_sent() {
    let platform = FakePlatform::start().await;
    let mut first = Receiver::start(&[Act::Hang; 8]).await;
    // With one connection that nobody accepts the queue is full, and the next one's SYN is dropped.
    let slow = TcpSocket::new_v4().expect("a socket");
    slow.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let slow = slow.listen(0).expect("a listener");
    let addr = slow.local_addr().expect("an address");
    let _waiting = TcpStream::connect(addr).await.expect("a connection");
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["lanes"][1]["window"] = (WINDOW.as_millis() as f64).into();
    config["settings"]["limits"]["connect_timeout"] = 5_000.0.into();
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let (folder, mut platform) = (lasting(), platform);
    let program = Program::start(&config, &folder.1).await;
    let (_, lines) = platform.watch().await;
    assert_eq!(program.hand_in("keyed", "m1", text()).await.status(), 202);
    let call = first.call().await;
    assert_eq!(call.message_id, "m1");
    // Its repeats can go to the slow one only.
    let moved = [member("r1", first.addr, 7, "DRAINING"), member("r2", addr, 7, "SERVING")];
    lines.send(list(8, false, &moved).to_string()).expect("a watch");
    // Not a wait for the program: the window has to pass. Then the queue empties, and connections come up: the
    // first call over them is another message's.
    tokio::time::sleep_until((call.at + WINDOW).into()).await;
    soon("the one that waits", slow.accept()).await.expect("a connection");
    assert_eq!(program.hand_in("safe", "m2", text()).await.status(), 202);
    let heads = async {
        loop {
            let (mut stream, _) = slow.accept().await.expect("a connection");
            let mut head = Vec::new();
            // One that was given up says nothing.
            while !head.ends_with(b"text") && stream.read_buf(&mut head).await.is_ok_and(|n| n > 0) {}
            if !head.is_empty() {
                return String::from_utf8_lossy(&head).into_owned();
            }
        }
    };
    let head = soon("a call", heads).await;
    assert!(head.contains("x-txn: m2\r\n"), "{head}");
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    // It ended with its window, not with what became of a connection that came up later.
    assert!(call.at.elapsed() < WINDOW + Duration::from_secs(2), "{:?}", call.at.elapsed());
    assert!(first.nothing_called());
}
