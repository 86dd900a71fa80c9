//! Requests with notifications: one of each kind, and their repetition.

use rudderspindle_testkit::scripted_peers::{config, list, member};
use serde_json::Value;

use crate::common::DEADLINE_MS;
use crate::common::folder::{Folder, persistent_folder};
use crate::common::program::Program;
use crate::expected::assert_golden;
use crate::normalise::known;
use crate::recorder::{AtOnce, OPEN_ENDED, Recorded, Recorder};

const NOTIFICATIONS: &str = "POST /reports ";

/// Lists and watches are answered at once; the test answers notifications.
fn lists(request: &str, list: &str) -> Option<AtOnce> {
    if request.starts_with("GET /api/targets HTTP/1.1\r\n") {
        return Some(AtOnce::Closing(format!("{OPEN_ENDED}{list}")));
    }
    request.starts_with("GET /api/targets?watch=1").then(|| AtOnce::Open(OPEN_ENDED.to_owned()))
}

/// A sender and its peers, whose requests are recorded.
struct RecordedPeers {
    platform: Recorder,
    receiver: Recorder,
    program: Program,
    _folder: Folder,
}

impl RecordedPeers {
    /// Starts a sender with a changed configuration and a receiver in this phase.
    async fn start(phase: &str, change: fn(&mut Value)) -> Self {
        let receiver = Recorder::start().await;
        let members = [member("r1", receiver.addr, 7, phase)];
        let platform = Recorder::start_with(list(7, true, &members).to_string(), lists).await;
        let mut config = config(platform.addr, &members, DEADLINE_MS);
        change(&mut config);
        let folder = persistent_folder();
        let program = Program::start(&config, &folder.state).await;
        Self { platform, receiver, program, _folder: folder }
    }
}

fn assert_notifications(golden: &str, request: &Recorded, platform: &Recorder) {
    assert_golden(golden, &known(&request.text(), &platform.addr.to_string(), "PLATFORM"));
}

/// The request with a notification, and its repetition after a response that does not acknowledge it.
async fn assert_repeated(golden: &str, platform: &mut Recorder) {
    let first = platform.next_of(NOTIFICATIONS).await;
    assert_notifications(golden, &first, platform);
    first.answer("500 Internal Server Error");
    let second = platform.next_of(NOTIFICATIONS).await;
    assert_notifications(golden, &second, platform);
    second.answer("204 No Content");
}

/// Submits a message and answers its only call with a status.
async fn end_with(status: &str, class: &str, program: &Program, receiver: &mut Recorder) {
    assert_eq!(program.submit(class, "m1", "text".into()).await.status(), 202);
    receiver.next().await.answer(status);
}

#[tokio::test]
async fn a_possibly_executed_message_is_notified_as_undeliverable_with_these_bytes() {
    let RecordedPeers { mut platform, mut receiver, program, _folder } =
        RecordedPeers::start("SERVING", |_| ()).await;
    end_with("500 Internal Server Error", "once", &program, &mut receiver).await;
    assert_repeated("notice_undeliverable.txt", &mut platform).await;
}

#[tokio::test]
async fn a_message_that_was_not_executed_is_notified_as_deferred_with_these_bytes() {
    let RecordedPeers { mut platform, mut receiver, program, _folder } =
        RecordedPeers::start("SERVING", |_| ()).await;
    end_with("504 Gateway Timeout", "safe", &program, &mut receiver).await;
    assert_repeated("notice_deferred.txt", &mut platform).await;
}

/// Three messages can be pending, and the fourth one has a higher value than the first.
#[tokio::test]
async fn an_evicted_message_is_notified_as_deferred_with_a_retry_after_with_these_bytes() {
    let small = |config: &mut Value| {
        config["settings"]["limits"]["most_held"] = 4.into();
        config["settings"]["lanes"][1]["credit"] = 5.0.into();
    };
    let RecordedPeers { mut platform, receiver: _receiver, program, _folder } =
        RecordedPeers::start("DRAINING", small).await;
    for (class, message_id) in [("safe", "m1"), ("keyed", "m2"), ("keyed", "m3"), ("keyed", "m4")] {
        assert_eq!(program.submit(class, message_id, "text".into()).await.status(), 202, "{message_id}");
    }
    assert_repeated("notice_deferred_with_time.txt", &mut platform).await;
}

/// A notification that becomes due while a request is unanswered is added to its repetition.
#[tokio::test]
async fn several_notifications_are_sent_in_one_request_with_a_line_each() {
    let RecordedPeers { mut platform, mut receiver, program, _folder } =
        RecordedPeers::start("SERVING", |_| ()).await;
    end_with("500 Internal Server Error", "once", &program, &mut receiver).await;
    let unanswered = platform.next_of(NOTIFICATIONS).await;
    assert_eq!(program.submit("safe", "m2", "text".into()).await.status(), 202);
    receiver.next().await.answer("504 Gateway Timeout");
    // The first one is repeated on new connections until both are pending.
    let mut open = vec![unanswered];
    let both = loop {
        let request = platform.next_of(NOTIFICATIONS).await;
        if request.text() != open[0].text() {
            break request;
        }
        open.push(request);
    };
    assert_notifications("notices_together.txt", &both, &platform);
    both.answer("204 No Content");
}
