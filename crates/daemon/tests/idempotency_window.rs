//! Retries of a message with an idempotency key: within the window from its first attempt, in the zone of that attempt.

mod common;

use std::time::{Duration, Instant};

use common::folder::persistent_folder;
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Notification, Receiver, ScriptedResponse, Watch, config, list, member, with_timeout,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// The shortest valid window.
const WINDOW: Duration = Duration::from_secs(1);

/// An unanswered attempt is possibly executed. Its retries come within the window and stay in its zone; after the window
/// the message is undeliverable.
#[tokio::test]
async fn retries_come_within_the_window_and_only_where_the_key_is_known() {
    let platform = FakePlatform::start().await;
    let mut known = Receiver::start(&[ScriptedResponse::NoResponse; 8]).await;
    let mut elsewhere = Receiver::start(&[]).await;
    let mut other_zone = member("r2", elsewhere.addr, 7, "SERVING");
    other_zone["locality"] = "b".into();
    // After a failure the endpoint in the other zone would be preferred.
    let members = [member("r1", known.addr, 7, "SERVING"), other_zone];
    let mut config = config(platform.addr, &members, DEADLINE_MS);
    config["settings"]["lanes"][1]["window"] = (WINDOW.as_millis() as f64).into();
    platform.set_list(config["known"].clone());
    let (folder, mut platform) = (persistent_folder(), platform);
    let program = Program::start(&config, &folder.state).await;
    let submitted_at = Instant::now();
    assert_eq!(program.submit("keyed", "m1", body()).await.status(), 202);
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    // The window starts no earlier than the submission.
    assert!(submitted_at.elapsed() < WINDOW + Duration::from_millis(500), "{:?}", submitted_at.elapsed());
    let mut calls = Vec::new();
    while let Ok(call) = known.calls.try_recv() {
        calls.push(call.at);
    }
    assert!(calls.len() >= 2, "it was not retried");
    let last = *calls.last().expect("a call") - calls[0];
    assert!(last < WINDOW, "the last retry came {last:?} after the first attempt");
    assert!(elsewhere.has_no_calls(), "it was sent to another zone");
}

/// The connection for the retry is established after the window: nothing is sent on it.
#[tokio::test]
async fn a_retry_whose_connection_is_established_after_the_window_is_not_sent() {
    let platform = FakePlatform::start().await;
    let mut first = Receiver::start(&[ScriptedResponse::NoResponse; 8]).await;
    // One unaccepted connection fills the backlog, so that the SYN of the next one is dropped.
    let slow = TcpSocket::new_v4().expect("a socket");
    slow.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let slow = slow.listen(0).expect("a listener");
    let addr = slow.local_addr().expect("an address");
    let _waiting = TcpStream::connect(addr).await.expect("a connection");
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["lanes"][1]["window"] = (WINDOW.as_millis() as f64).into();
    config["settings"]["limits"]["connect_timeout"] = 5_000.0.into();
    platform.set_list(config["known"].clone());
    let (folder, mut platform) = (persistent_folder(), platform);
    let program = Program::start(&config, &folder.state).await;
    let Watch { lines, .. } = platform.next_watch().await;
    assert_eq!(program.submit("keyed", "m1", body()).await.status(), 202);
    let call = first.next_call().await;
    assert_eq!(call.message_id, "m1");
    // Only the slow endpoint is left for its retries.
    let moved = [member("r1", first.addr, 7, "DRAINING"), member("r2", addr, 7, "SERVING")];
    lines.send(list(8, false, &moved).to_string()).expect("a watch");
    // After the window the backlog empties and connections are established: the first call on them is another message.
    tokio::time::sleep_until((call.at + WINDOW).into()).await;
    with_timeout("the connection in the backlog", slow.accept()).await.expect("a connection");
    assert_eq!(program.submit("safe", "m2", body()).await.status(), 202);
    let heads = async {
        loop {
            let (mut stream, _) = slow.accept().await.expect("a connection");
            let mut head = Vec::new();
            // An abandoned connection is empty.
            while !head.ends_with(b"text") && stream.read_buf(&mut head).await.is_ok_and(|n| n > 0) {}
            if !head.is_empty() {
                return String::from_utf8_lossy(&head).into_owned();
            }
        }
    };
    let head = with_timeout("a call", heads).await;
    assert!(head.contains("x-txn: m2\r\n"), "{head}");
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    // It ended with its window, not with the connection.
    assert!(call.at.elapsed() < WINDOW + Duration::from_secs(2), "{:?}", call.at.elapsed());
    assert!(first.has_no_calls());
}
