//! Requests to receivers: first and repeated attempts, with and without an idempotency key.

use rudderspindle_testkit::scripted_peers::{
    FakePlatform, config, member, raw_submission, read_rest_of_response, read_status,
};

use crate::common::DEADLINE_MS;
use crate::common::folder::{Folder, persistent_folder};
use crate::common::program::Program;
use crate::expected::assert_golden;
use crate::normalise::{known, remaining_time};
use crate::recorder::{Recorded, Recorder};

/// A sender and its peers; the receiver's requests are recorded.
struct RecordedReceiver {
    _platform: FakePlatform,
    receiver: Recorder,
    program: Program,
    _folder: Folder,
}

impl RecordedReceiver {
    async fn start() -> Self {
        let (platform, receiver) = (FakePlatform::start().await, Recorder::start().await);
        let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
        platform.set_list(config["known"].clone());
        let folder = persistent_folder();
        let program = Program::start(&config, &folder.state).await;
        Self { _platform: platform, receiver, program, _folder: folder }
    }
}

fn assert_attempt(golden: &str, attempt: &Recorded, receiver: &Recorder) {
    let text = known(&attempt.text(), &receiver.addr.to_string(), "RECEIVER");
    assert_golden(golden, &remaining_time(&text));
}

/// Compares the first attempt, which fails, and the second one with their golden files.
async fn assert_two_attempts(receiver: &mut Recorder, golden: [&str; 2]) {
    let first = receiver.next().await;
    assert_attempt(golden[0], &first, receiver);
    first.answer("500 Internal Server Error");
    let second = receiver.next().await;
    assert_attempt(golden[1], &second, receiver);
    second.answer("200 OK");
}

#[tokio::test]
async fn attempts_of_a_message_without_a_key_have_these_bytes() {
    let RecordedReceiver { _platform, mut receiver, program, _folder } = RecordedReceiver::start().await;
    let mut client = program.raw(&raw_submission("m1", "Content-Length: 4", "text")).await;
    assert_eq!(read_status(&mut client).await, Some(202));
    read_rest_of_response(&mut client).await;
    assert_two_attempts(
        &mut receiver,
        ["receiver_first_attempt_without_key.txt", "receiver_repeated_attempt_without_key.txt"],
    )
    .await;
}

#[tokio::test]
async fn attempts_of_a_message_with_a_key_have_these_bytes() {
    let RecordedReceiver { _platform, mut receiver, program, _folder } = RecordedReceiver::start().await;
    assert_eq!(program.submit("keyed", "m1", "text".into()).await.status(), 202);
    assert_two_attempts(
        &mut receiver,
        ["receiver_first_attempt_with_key.txt", "receiver_repeated_attempt_with_key.txt"],
    )
    .await;
}

#[tokio::test]
async fn a_body_of_any_bytes_is_forwarded_unchanged() {
    let RecordedReceiver { _platform, mut receiver, program, _folder } = RecordedReceiver::start().await;
    let body = b"\0\r\n\x7f\\\"end".as_slice();
    assert_eq!(program.submit("once", "m1", body.into()).await.status(), 202);
    let first = receiver.next().await;
    assert_attempt("receiver_body_of_any_bytes.txt", &first, &receiver);
    first.answer("200 OK");
}
