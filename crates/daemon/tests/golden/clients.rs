//! Answers as clients get them: taken on, refused, and requests that cannot be taken.

use serde_json::Value;
use tokio::io::AsyncReadExt;

use crate::common::{
    Act, FakePlatform, Folder, Program, Receiver, config, lasting, member, raw_submission, set_up, soon,
};
use crate::expected::{assert_golden, printable, section};
use crate::normalise::date;

const DEADLINE_MS: f64 = 60_000.0;
const LENGTH: &str = "Content-Length: 4";
const BODY: &str = "text";
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// A hand-in that can be taken, as a client writes it.
fn good() -> String {
    String::from_utf8(raw_submission("m1", LENGTH, BODY)).expect("text")
}

/// The same with something in it replaced, which must be there.
fn with(old: &str, new: &str) -> String {
    let good = good();
    assert!(good.contains(old), "{old} is not in {good}");
    good.replace(old, new)
}

/// The whole answer to a request on a connection of its own.
async fn answer(program: &Program, request: &str) -> String {
    let mut stream = program.raw(request.as_bytes()).await;
    let mut bytes = Vec::new();
    while !is_whole(&bytes) {
        let count = soon("an answer", stream.read_buf(&mut bytes)).await.expect("readable");
        assert!(count > 0, "the connection ended within {}", printable(&bytes));
    }
    date(&printable(&bytes))
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.expect("a length").parse().expect("a length")
}

/// A sender that three messages may wait at, and whose only receiver takes none; `keyed` is worth more than `safe`.
async fn small() -> (FakePlatform, Receiver, Program, Folder) {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut config: Value = config(platform.addr, &[member("r1", receiver.addr, 7, "DRAINING")], DEADLINE_MS);
    config["settings"]["limits"]["most_held"] = 4.into();
    config["settings"]["lanes"][1]["credit"] = 5.0.into();
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, receiver, program, folder)
}

#[tokio::test]
async fn a_message_that_is_taken_on_is_answered_with_these_bytes() {
    let (_platform, _receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    assert_golden("client_taken_on.txt", &answer(&program, &good()).await);
}

#[tokio::test]
async fn a_message_without_time_is_refused_with_these_bytes() {
    let (_platform, _receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    let late = with("X-Remaining: 60", "X-Remaining: 0");
    assert_golden("client_refused.txt", &answer(&program, &late).await);
}

#[tokio::test]
async fn a_message_that_finds_no_room_is_refused_with_a_time_with_these_bytes() {
    let (_platform, _receiver, program, _folder) = small().await;
    for message_id in ["k1", "k2", "k3"] {
        assert_eq!(program.hand_in("keyed", message_id, BODY.into()).await.status(), 202, "{message_id}");
    }
    assert_golden("client_refused_with_time.txt", &answer(&program, &good()).await);
}

#[tokio::test]
async fn a_destination_or_class_that_nobody_knows_is_answered_with_these_bytes() {
    let (_platform, _receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    let destination = answer(&program, &with("dest=7", "dest=8")).await;
    let class = answer(&program, &with("/safe", "/nothing")).await;
    let text = section("unknown destination", &destination) + &section("unknown class", &class);
    assert_golden("client_unknown.txt", &text);
}

#[tokio::test]
async fn bad_requests_are_answered_with_these_bytes() {
    let (_platform, mut receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    let cases = [
        ("no id", with("X-Txn: m1\r\n", "")),
        ("unknown tenant", with("X-Org: acme", "X-Org: nobody")),
        ("destination that is none", with("dest=7", "7")),
        ("remaining time that is none", with("X-Remaining: 60", "X-Remaining: soon")),
        ("class with a key, no key", with("/safe", "/keyed")),
        ("body in chunks", with(LENGTH, "Transfer-Encoding: chunked")),
        ("another method", with("POST", "PUT")),
        ("two lengths", with(LENGTH, "Content-Length: 4\r\nContent-Length: 5")),
        ("no HTTP", "nonsense\r\n\r\n".to_owned()),
    ];
    let mut text = String::new();
    for (title, request) in cases {
        text += &section(title, &answer(&program, &request).await);
    }
    assert_golden("client_bad_requests.txt", &text);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_request_that_is_too_large_is_answered_with_these_bytes() {
    let (_platform, _receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    let large = with(LENGTH, "Content-Length: 65537");
    assert_golden("client_too_large.txt", &answer(&program, &large).await);
}

#[tokio::test]
async fn readiness_is_answered_with_these_bytes() {
    let (_platform, _receiver, program, _folder, _config) = set_up(&[], DEADLINE_MS).await;
    let text = section("ready", &answer(&program, READY).await);
    let posted = answer(&program, &READY.replace("GET", "POST")).await;
    assert_golden("client_ready.txt", &(text + &section("not asked by GET", &posted)));
}

/// A call that is out keeps the program from its end for a while.
#[tokio::test]
async fn clients_of_a_program_that_stops_are_answered_with_these_bytes() {
    let (_platform, mut receiver, mut program, _folder, _config) = set_up(&[Act::Hang], DEADLINE_MS).await;
    assert_eq!(program.hand_in("once", "m0", BODY.into()).await.status(), 202);
    receiver.call().await;
    program.terminate().await;
    program.says("stopping").await;
    let text = section("readiness", &answer(&program, READY).await);
    assert_golden(
        "client_while_stopping.txt",
        &(text + &section("hand-in", &answer(&program, &good()).await)),
    );
}
