//! Requests as receivers get them: first and repeated attempts, with and without an idempotency key.

use crate::common::{
    FakePlatform, Folder, Program, config, lasting, member, raw_submission, rest_of_answer, status,
};
use crate::expected::assert_golden;
use crate::normalise::{known, remaining_time};
use crate::recorder::{Recorded, Recorder};

const DEADLINE_MS: f64 = 60_000.0;

/// A platform, a receiver that is recorded and a sender.
async fn set_up() -> (FakePlatform, Recorder, Program, Folder) {
    let (platform, receiver) = (FakePlatform::start().await, Recorder::start().await);
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, receiver, program, folder)
}

fn assert_attempt(golden: &str, attempt: &Recorded, receiver: &Recorder) {
    let text = known(&attempt.text(), &receiver.addr.to_string(), "RECEIVER");
    assert_golden(golden, &remaining_time(&text));
}

#[tokio::test]
async fn attempts_of_a_message_without_a_key_are_these_bytes() {
    let (_platform, mut receiver, program, _folder) = set_up().await;
    let mut client = program.raw(&raw_submission("m1", "Content-Length: 4", "text")).await;
    assert_eq!(status(&mut client).await, Some(202));
    rest_of_answer(&mut client).await;
    let first = receiver.next().await;
    assert_attempt("receiver_first_attempt_without_key.txt", &first, &receiver);
    first.answer("500 Internal Server Error");
    let second = receiver.next().await;
    assert_attempt("receiver_repeated_attempt_without_key.txt", &second, &receiver);
    second.answer("200 OK");
}

#[tokio::test]
async fn attempts_of_a_message_with_a_key_are_these_bytes() {
    let (_platform, mut receiver, program, _folder) = set_up().await;
    assert_eq!(program.hand_in("keyed", "m1", "text".into()).await.status(), 202);
    let first = receiver.next().await;
    assert_attempt("receiver_first_attempt_with_key.txt", &first, &receiver);
    first.answer("500 Internal Server Error");
    let second = receiver.next().await;
    assert_attempt("receiver_repeated_attempt_with_key.txt", &second, &receiver);
    second.answer("200 OK");
}

/// Bytes of a body that are no text go on as they came.
#[tokio::test]
async fn a_body_of_any_bytes_goes_out_as_it_came() {
    let (_platform, mut receiver, program, _folder) = set_up().await;
    let body = b"\0\r\n\x7f\\\"end".as_slice();
    assert_eq!(program.hand_in("once", "m1", body.into()).await.status(), 202);
    let first = receiver.next().await;
    assert_attempt("receiver_body_of_any_bytes.txt", &first, &receiver);
    first.answer("200 OK");
}
