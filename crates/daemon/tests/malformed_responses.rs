//! Malformed, cut off and surplus bytes of receivers in place of a response.

mod common;

use std::time::{Duration, Instant};

use common::*;

/// Starts a platform, a receiver that responds with given bytes, and a sender.
async fn set_up_malformed() -> (FakePlatform, MalformedResponder, Program, Folder) {
    let (platform, responder) = (FakePlatform::start().await, MalformedResponder::start().await);
    let members = [member("r1", responder.addr, 7, "SERVING")];
    let config = config(platform.addr, &members, DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, responder, program, folder)
}

/// An answer that cannot be read, or that does not end, comes of a call that has run: it is known as soon as
/// it comes, also where it says that the call never ran, and ends the connection.
#[tokio::test]
async fn a_malformed_response_is_a_failure_with_possible_execution() {
    let (mut platform, mut responder, program, _folder) = set_up_malformed().await;
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
        assert_eq!(program.hand_in("once", &message_id, text()).await.status(), 202);
        let (connection, called) = responder.call().await;
        assert_eq!(
            (connection, &called),
            (2 * n, &message_id),
            "{case:?}: the connection before was used again"
        );
        assert_eq!(platform.report().await.0, [(message_id, "undeliverable".to_owned())], "{case:?}");
        assert!(since.elapsed() < Duration::from_secs(3), "{case:?}: {:?}", since.elapsed());
        // Otherwise so many in a row would make an outage.
        program.hand_in("once", "good", text()).await;
        assert_eq!(responder.call().await, (2 * n + 1, "good".to_owned()));
        responder.then(&[b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"]);
        program.hand_in("once", "last", text()).await;
        assert_eq!(responder.call().await, (2 * n + 1, "last".to_owned()));
    }
}

#[tokio::test]
async fn a_status_line_with_200_is_a_delivery_whatever_follows() {
    let (mut platform, mut responder, program, _folder) = set_up_malformed().await;
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
        program.hand_in("safe", &message_id, text()).await;
        // A message that may be repeated would be.
        assert_eq!(responder.call().await, (n, message_id), "{case:?}");
        // Until it is known, the connection is not free; then it must be gone.
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    assert!(responder.calls.try_recv().is_err() && platform.nothing_reported());
}

#[tokio::test]
async fn surplus_bytes_after_a_response_are_not_the_next_response() {
    let (mut platform, mut responder, program, _folder) = set_up_malformed().await;
    for (n, parts) in [&[GOOD, GOOD][..], &[GOOD, b"noise"], &[GOOD, b"", GOOD]].iter().enumerate() {
        let (first, second) = (format!("a{n}"), format!("b{n}"));
        responder.then(parts);
        program.hand_in("once", &first, text()).await;
        assert_eq!(responder.call().await.1, first);
        if parts.len() == 3 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        responder.then(&[b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]);
        program.hand_in("once", &second, text()).await;
        assert_eq!(responder.call().await.1, second);
        assert_eq!(platform.report().await.0, [(second, "undeliverable".to_owned())], "{parts:?}");
    }
}

#[tokio::test]
async fn a_response_may_come_long_after_interim_responses() {
    let (mut platform, mut responder, program, _folder) = set_up_malformed().await;
    responder.then(&[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n", b"", GOOD]);
    program.hand_in("once", "m1", text()).await;
    assert_eq!(responder.call().await, (0, "m1".to_owned()));
    tokio::time::sleep(Duration::from_millis(900)).await;
    program.hand_in("once", "m2", text()).await;
    assert_eq!(responder.call().await, (0, "m2".to_owned()));
    assert!(platform.nothing_reported());
}
