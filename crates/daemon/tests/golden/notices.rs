//! Requests with notices as the platform gets them: one of each kind, and their repetition.

use serde_json::Value;

use crate::common::{Folder, Program, config, lasting, list, member};
use crate::expected::assert_golden;
use crate::normalise::known;
use crate::recorder::{AtOnce, OPEN_ENDED, Recorded, Recorder};

const DEADLINE_MS: f64 = 60_000.0;
const NOTICES: &str = "POST /reports ";

/// Lists and watches are answered at once; requests with notices are left to the test.
fn lists(request: &str, list: &str) -> Option<AtOnce> {
    if request.starts_with("GET /api/targets HTTP/1.1\r\n") {
        return Some(AtOnce::Closing(format!("{OPEN_ENDED}{list}")));
    }
    request.starts_with("GET /api/targets?watch=1").then(|| AtOnce::Open(OPEN_ENDED.to_owned()))
}

/// A platform and a receiver that are recorded, and a sender with a configuration of this change.
async fn set_up(phase: &str, change: fn(&mut Value)) -> (Recorder, Recorder, Program, Folder) {
    let receiver = Recorder::start().await;
    let members = [member("r1", receiver.addr, 7, phase)];
    let platform = Recorder::start_with(list(7, true, &members).to_string(), lists).await;
    let mut config = config(platform.addr, &members, DEADLINE_MS);
    change(&mut config);
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, receiver, program, folder)
}

fn assert_notices(golden: &str, request: &Recorded, platform: &Recorder) {
    assert_golden(golden, &known(&request.text(), &platform.addr.to_string(), "PLATFORM"));
}

/// The request with a notice, and its repetition after an answer that is no acknowledgement.
async fn assert_repeated(golden: &str, platform: &mut Recorder) {
    let first = platform.next_of(NOTICES).await;
    assert_notices(golden, &first, platform);
    first.answer("500 Internal Server Error");
    let second = platform.next_of(NOTICES).await;
    assert_notices(golden, &second, platform);
    second.answer("204 No Content");
}

/// Hands a message in and answers its only call with a status.
async fn end_with(status: &str, class: &str, program: &Program, receiver: &mut Recorder) {
    assert_eq!(program.hand_in(class, "m1", "text".into()).await.status(), 202);
    receiver.next().await.answer(status);
}

#[tokio::test]
async fn a_message_that_may_have_run_is_told_as_undeliverable_with_these_bytes() {
    let (mut platform, mut receiver, program, _folder) = set_up("SERVING", |_| ()).await;
    end_with("500 Internal Server Error", "once", &program, &mut receiver).await;
    assert_repeated("notice_undeliverable.txt", &mut platform).await;
}

#[tokio::test]
async fn a_message_that_nobody_took_is_told_as_deferred_with_these_bytes() {
    let (mut platform, mut receiver, program, _folder) = set_up("SERVING", |_| ()).await;
    end_with("504 Gateway Timeout", "safe", &program, &mut receiver).await;
    assert_repeated("notice_deferred.txt", &mut platform).await;
}

/// Three messages may wait here, and the fourth one is worth more than the first.
#[tokio::test]
async fn a_message_that_gives_way_to_another_is_told_as_deferred_with_a_time_with_these_bytes() {
    let small = |config: &mut Value| {
        config["settings"]["limits"]["most_held"] = 4.into();
        config["settings"]["lanes"][1]["credit"] = 5.0.into();
    };
    let (mut platform, _receiver, program, _folder) = set_up("DRAINING", small).await;
    for (class, message_id) in [("safe", "m1"), ("keyed", "m2"), ("keyed", "m3"), ("keyed", "m4")] {
        assert_eq!(program.hand_in(class, message_id, "text".into()).await.status(), 202, "{message_id}");
    }
    assert_repeated("notice_deferred_with_time.txt", &mut platform).await;
}

/// What has come to be owed while a request was out goes with the repetition.
#[tokio::test]
async fn several_notices_go_in_one_request_a_line_each() {
    let (mut platform, mut receiver, program, _folder) = set_up("SERVING", |_| ()).await;
    end_with("500 Internal Server Error", "once", &program, &mut receiver).await;
    let unanswered = platform.next_of(NOTICES).await;
    assert_eq!(program.hand_in("safe", "m2", "text".into()).await.status(), 202);
    receiver.next().await.answer("504 Gateway Timeout");
    // Until both are in it, the first one is repeated on further connections.
    let mut open = vec![unanswered];
    let both = loop {
        let request = platform.next_of(NOTICES).await;
        if request.text() != open[0].text() {
            break request;
        }
        open.push(request);
    };
    assert_notices("notices_together.txt", &both, &platform);
    both.answer("204 No Content");
}
