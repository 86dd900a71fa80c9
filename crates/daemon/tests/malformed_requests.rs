//! Malformed and invalid requests: each gets an error and none is accepted.

mod common;

use std::time::Instant;

use bytes::Bytes;
use common::fixture::{Fixture, set_up};
use common::folder::disk_use;
use common::program::Program;
use common::{DEADLINE_MS, REJECTION_TIMEOUT, body};
use http_body_util::Full;
use hyper::Request;
use rudderspindle_testkit::scripted_peers::{raw_submission, read_status, read_until_close, with_timeout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn invalid_requests_get_their_status_and_nothing_is_accepted() {
    let Fixture { mut platform, mut receiver, program, folder, .. } = set_up(&[], DEADLINE_MS).await;
    let good = [
        ("x-txn", "m1"),
        ("x-org", "acme"),
        ("x-remaining", "5"),
        ("x-route-to", "dest=7"),
        ("idempotency-key", "k"),
    ];
    let cases = [
        ("/safe", "x-txn", "", 400),
        ("/safe", "x-org", "nobody", 400),
        ("/safe", "x-remaining", "soon", 400),
        ("/safe", "x-remaining", "-1", 400),
        ("/safe", "x-remaining", "NaN", 400),
        ("/safe", "x-remaining", "inf", 400),
        ("/safe", "x-route-to", "dest=70000", 400),
        ("/safe", "x-route-to", "7", 400),
        ("/safe", "x-route-to", "dest=8", 404),
        ("/keyed", "idempotency-key", "", 400),
        ("/nothing", "x-txn", "m1", 404),
        ("/", "x-txn", "m1", 404),
    ];
    for (path, name, value, status) in cases {
        let mut request = Request::post(path);
        for (header, usual) in good {
            request = request.header(header, if header == name { value } else { usual });
        }
        let answer = program.request(request.body(Full::new(body())).expect("a request")).await;
        assert_eq!(answer.expect("an answer").status(), status, "{path} {name} {value:?}");
    }
    let large = Bytes::from(vec![0; 64 * 1024 + 1]);
    assert_eq!(program.submit("safe", "m1", large).await.status(), 413);
    let put = Request::put("/safe").body(Full::default()).expect("a request");
    assert_eq!(program.request(put).await.expect("an answer").status(), 405);
    expect_errors_for_raw_requests(&program).await;
    assert_eq!(program.submit("safe", "last", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "last");
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
    assert!(disk_use(&folder.state) <= 512);
}

/// Checks that invalid HTTP gets an error, and a body that ends too early an error or a closed connection.
async fn expect_errors_for_raw_requests(program: &Program) {
    for raw in [
        &b"nonsense\r\n\r\n"[..],
        b"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n",
        b"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    ] {
        let mut stream = tokio::net::TcpStream::connect(program.addr).await.expect("a connection");
        stream.write_all(raw).await.expect("writable");
        let mut answer = String::new();
        with_timeout("an answer", stream.read_to_string(&mut answer)).await.expect("text");
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    // A body that ends too early.
    let mut stream = tokio::net::TcpStream::connect(program.addr).await.expect("a connection");
    let head = "POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: cut\r\nX-Org: acme\r\nX-Remaining: 5\r\nX-Route-To: dest=7\r\n\
                Content-Length: 9\r\n\r\nshort";
    stream.write_all(head.as_bytes()).await.expect("writable");
    stream.shutdown().await.expect("half closed");
    let mut answer = String::new();
    let _ = with_timeout("the end", stream.read_to_string(&mut answer)).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
}

#[tokio::test]
async fn a_malformed_request_gets_an_error_and_submits_nothing() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } = set_up(&[], DEADLINE_MS).await;
    let endless = format!("POST /safe HTTP/1.1\r\nX-Noise: {}", "x".repeat(100_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("noise", vec![0x16, 3, 1, 0, 0xff, b'\r', b'\n', b'\r', b'\n']),
        ("endless head", endless.into_bytes()),
        ("negative length", raw_submission("m1", "Content-Length: -4", "text")),
        ("huge length", raw_submission("m2", "Content-Length: 18446744073709551615", "text")),
        ("60 MB", raw_submission("m3", "Content-Length: 60000000", "text")),
        ("no length that is one", raw_submission("m4", "Content-Length: four", "text")),
        ("two lengths", raw_submission("m5", "Content-Length: 4\r\nContent-Length: 5", "text")),
        ("chunks", raw_submission("m6", "Transfer-Encoding: chunked", "4\r\ntext\r\n0\r\n\r\n")),
        ("no id", raw_submission("", "Content-Length: 4", "text")),
    ];
    for (what, bytes) in cases {
        let since = Instant::now();
        let mut stream = TcpStream::connect(program.addr).await.expect("a connection");
        // The sender may close the connection during the write.
        let _ = stream.write_all(&bytes).await;
        let status = read_status(&mut stream).await;
        assert!(status.is_none_or(|status| (400..500).contains(&status)), "{what}: {status:?}");
        read_until_close(&mut stream).await;
        assert!(since.elapsed() < REJECTION_TIMEOUT, "{what}: {:?}", since.elapsed());
    }
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

/// hyper lets Transfer-Encoding override Content-Length: the bytes after the last chunk must not be read as a request.
#[tokio::test]
async fn a_request_smuggled_in_a_body_is_not_submitted() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let hidden = String::from_utf8(raw_submission("hidden", "Content-Length: 4", "text")).expect("text");
    for fields in [
        "Content-Length: LENGTH\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: LENGTH",
    ] {
        let body = format!("4\r\ntext\r\n0\r\n\r\n{hidden}");
        let fields = fields.replace("LENGTH", &body.len().to_string());
        let mut stream = program.raw(&raw_submission("outer", &fields, &body)).await;
        assert_eq!(read_status(&mut stream).await, Some(400));
        let rest = String::from_utf8_lossy(&read_until_close(&mut stream).await).into_owned();
        assert!(!rest.contains("HTTP/1.1"), "{rest}");
    }
    program.submit("safe", "last", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "last");
}
