//! Responses to clients: accepted, rejected and invalid submissions, and readiness.

use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Receiver, ScriptedResponse, config, member, raw_submission, with_timeout,
};
use serde_json::Value;
use tokio::io::AsyncReadExt;

use crate::common::DEADLINE_MS;
use crate::common::fixture::{Fixture, set_up};
use crate::common::folder::persistent_folder;
use crate::common::program::Program;
use crate::expected::{assert_golden, printable, section};
use crate::normalise::date;

const LENGTH: &str = "Content-Length: 4";
const BODY: &str = "text";
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// A valid submission as a client writes it.
fn good() -> String {
    String::from_utf8(raw_submission("m1", LENGTH, BODY)).expect("text")
}

/// A valid submission with one part replaced.
fn with(old: &str, new: &str) -> String {
    let good = good();
    assert!(good.contains(old), "{old} is not in {good}");
    good.replace(old, new)
}

/// The whole response to a request on a new connection.
async fn answer(program: &Program, request: &str) -> String {
    let mut stream = program.raw(request.as_bytes()).await;
    let mut bytes = Vec::new();
    while !is_whole(&bytes) {
        let count = with_timeout("an answer", stream.read_buf(&mut bytes)).await.expect("readable");
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

/// A sender that accepts three messages at most and whose only receiver is draining; `keyed` has a higher value than
/// `safe`.
async fn small() -> Fixture {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut config: Value = config(platform.addr, &[member("r1", receiver.addr, 7, "DRAINING")], DEADLINE_MS);
    config["settings"]["limits"]["most_held"] = 4.into();
    config["settings"]["lanes"][1]["credit"] = 5.0.into();
    platform.set_list(config["known"].clone());
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    Fixture { platform, receiver, program, folder, config }
}

#[tokio::test]
async fn an_accepted_message_is_answered_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
    assert_golden("client_taken_on.txt", &answer(&program, &good()).await);
}

#[tokio::test]
async fn a_message_without_time_left_is_rejected_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
    let late = with("X-Remaining: 60", "X-Remaining: 0");
    assert_golden("client_refused.txt", &answer(&program, &late).await);
}

#[tokio::test]
async fn a_message_without_capacity_is_rejected_with_a_retry_after_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, .. } = small().await;
    for message_id in ["k1", "k2", "k3"] {
        assert_eq!(program.submit("keyed", message_id, BODY.into()).await.status(), 202, "{message_id}");
    }
    assert_golden("client_refused_with_time.txt", &answer(&program, &good()).await);
}

#[tokio::test]
async fn an_unknown_destination_or_class_is_answered_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
    let destination = answer(&program, &with("dest=7", "dest=8")).await;
    let class = answer(&program, &with("/safe", "/nothing")).await;
    let text = section("unknown destination", &destination) + &section("unknown class", &class);
    assert_golden("client_unknown.txt", &text);
}

#[tokio::test]
async fn invalid_requests_are_answered_with_these_bytes() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
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
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn a_too_large_request_is_answered_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
    let large = with(LENGTH, "Content-Length: 65537");
    assert_golden("client_too_large.txt", &answer(&program, &large).await);
}

#[tokio::test]
async fn readiness_is_answered_with_these_bytes() {
    let Fixture { platform: _platform, receiver: _receiver, program, folder: _folder, config: _config } =
        set_up(&[], DEADLINE_MS).await;
    let text = section("ready", &answer(&program, READY).await);
    let posted = answer(&program, &READY.replace("GET", "POST")).await;
    assert_golden("client_ready.txt", &(text + &section("not asked by GET", &posted)));
}

/// A call in flight delays the exit of the program.
#[tokio::test]
async fn clients_of_a_stopping_program_are_answered_with_these_bytes() {
    let Fixture { platform: _platform, mut receiver, mut program, folder: _folder, config: _config } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    assert_eq!(program.submit("once", "m0", BODY.into()).await.status(), 202);
    receiver.next_call().await;
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    let text = section("readiness", &answer(&program, READY).await);
    assert_golden(
        "client_while_stopping.txt",
        &(text + &section("hand-in", &answer(&program, &good()).await)),
    );
}
