//! Malformed, cut off and surplus bytes of receivers in place of a response.

mod common;

use std::time::{Duration, Instant};

use common::folder::{Folder, persistent_folder};
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, GOOD, MalformedResponder, Notification, RawCall, config, member,
};

/// A sender and its peers, of which the receiver responds with scripted bytes.
struct RawFixture {
    platform: FakePlatform,
    responder: MalformedResponder,
    program: Program,
    _folder: Folder,
}

impl RawFixture {
    async fn start() -> Self {
        let (platform, responder) = (FakePlatform::start().await, MalformedResponder::start().await);
        let members = [member("r1", responder.addr, 7, "SERVING")];
        let config = config(platform.addr, &members, DEADLINE_MS);
        platform.set_list(config["known"].clone());
        let folder = persistent_folder();
        let program = Program::start(&config, &folder.state).await;
        Self { platform, responder, program, _folder: folder }
    }
}

/// A response that is malformed or has no end is a failure at once, closes the connection, and counts as a possible
/// execution whatever its status is.
#[tokio::test]
async fn a_malformed_response_is_a_failure_with_possible_execution() {
    let RawFixture { mut platform, mut responder, program, _folder } = RawFixture::start().await;
    let much = "x".repeat(100_000);
    let endless = format!("HTTP/1.1 500 No\r\nX-Noise: {much}");
    let large = format!("HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n{much}");
    let cases = [
        "\0\u{1}noise\r\n\r\n",
        "noise without an end",
        "HTTP/1.1 50",
        "HTTP/1.1 500 No\r\nX-Half: a head",
        &endless,
        &large,
        "HTTP/1.1 429 No\r\nContent-Length: -3\r\n\r\n",
        "HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 20",
    ];
    for (n, case) in cases.iter().enumerate() {
        let message_id = format!("m{n}");
        responder.then(&[case.as_bytes()]);
        let since = Instant::now();
        assert_eq!(program.submit("once", &message_id, body()).await.status(), 202);
        let call = responder.next_call().await;
        assert_eq!(
            call,
            RawCall::new(2 * n, &message_id),
            "{case:?}: the previous connection was used again"
        );
        assert_eq!(
            platform.next_notifications().await.notifications,
            [Notification::undeliverable(&message_id)],
            "{case:?}"
        );
        assert!(since.elapsed() < Duration::from_secs(3), "{case:?}: {:?}", since.elapsed());
        // A success in between: failures in a row would open the circuit breaker.
        let (good, last) = (format!("good{n}"), format!("last{n}"));
        program.submit("once", &good, body()).await;
        assert_eq!(responder.next_call().await, RawCall::new(2 * n + 1, good));
        responder.then(&[b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"]);
        program.submit("once", &last, body()).await;
        assert_eq!(responder.next_call().await, RawCall::new(2 * n + 1, last));
    }
}

#[tokio::test]
async fn a_status_line_with_200_is_a_delivery_whatever_follows() {
    let RawFixture { mut platform, mut responder, program, _folder } = RawFixture::start().await;
    let much = "x".repeat(100_000);
    let cases = [
        "HTTP/1.1 200 OK\r\nX-Half: a head".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Noise: {much}"),
        "HTTP/1.1 200 OK\r\n\0\u{1}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort".to_owned(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{much}"),
        "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n:\r\n\r\n".to_owned(),
    ];
    for (n, case) in cases.iter().enumerate() {
        let message_id = format!("m{n}");
        responder.then(&[case.as_bytes()]);
        program.submit("safe", &message_id, body()).await;
        // An idempotent message would be retried after a failure.
        assert_eq!(responder.next_call().await, RawCall::new(n, message_id), "{case:?}");
        // The connection is busy until the response is rejected, and closed after that.
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    assert!(responder.calls.try_recv().is_err() && platform.has_no_notifications());
}

#[tokio::test]
async fn surplus_bytes_after_a_response_are_not_the_next_response() {
    let RawFixture { mut platform, mut responder, program, _folder } = RawFixture::start().await;
    for (n, parts) in [&[GOOD, GOOD][..], &[GOOD, b"noise"], &[GOOD, b"", GOOD]].iter().enumerate() {
        let (first, second) = (format!("a{n}"), format!("b{n}"));
        responder.then(parts);
        program.submit("once", &first, body()).await;
        assert_eq!(responder.next_call().await.message_id, first);
        if parts.len() == 3 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        responder.then(&[b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]);
        program.submit("once", &second, body()).await;
        assert_eq!(responder.next_call().await.message_id, second);
        assert_eq!(
            platform.next_notifications().await.notifications,
            [Notification::undeliverable(&second)],
            "{parts:?}"
        );
    }
}

#[tokio::test]
async fn a_response_may_come_long_after_interim_responses() {
    let RawFixture { mut platform, mut responder, program, _folder } = RawFixture::start().await;
    responder.then(&[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n", b"", GOOD]);
    program.submit("once", "m1", body()).await;
    assert_eq!(responder.next_call().await, RawCall::new(0, "m1"));
    tokio::time::sleep(Duration::from_millis(900)).await;
    program.submit("once", "m2", body()).await;
    assert_eq!(responder.next_call().await, RawCall::new(0, "m2"));
    assert!(platform.has_no_notifications());
}
