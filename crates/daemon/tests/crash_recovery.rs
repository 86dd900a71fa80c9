//! A kill of the process: the messages in its journal are resumed, and none is executed twice.

mod common;

use std::time::Duration;

use common::fixture::{Fixture, set_up};
use common::folder::persistent_folder;
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Notification, NotificationRequest, Receiver, ScriptedResponse, config, list, member,
    with_timeout,
};

/// Whether any file of the state folder contains these bytes.
fn journal_holds(state: &std::path::Path, bytes: &[u8]) -> bool {
    let files =
        std::fs::read_dir(state).expect("a folder").filter_map(|file| std::fs::read(file.ok()?.path()).ok());
    files.into_iter().any(|file| file.windows(bytes.len()).any(|w| w == bytes))
}

#[tokio::test]
async fn a_kill_loses_nothing_and_only_idempotent_messages_are_retried() {
    let Fixture { mut platform, mut receiver, program, folder, config } = set_up(
        &[ScriptedResponse::NoResponse, ScriptedResponse::NoResponse, ScriptedResponse::NoResponse],
        DEADLINE_MS,
    )
    .await;
    for message_id in ["safe", "keyed", "once"] {
        assert_eq!(program.submit(message_id, message_id, body()).await.status(), 202);
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
    program.kill().await;
    let _program = Program::start(&config, &folder.state).await;
    // All three are possibly executed: the at-most-once message is not retried, and a notification is sent.
    assert_eq!(
        platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("once"), 204)
    );
    let mut again =
        [receiver.next_call().await, receiver.next_call().await].map(|call| (call.message_id, call.body));
    again.sort();
    assert_eq!(again, [("keyed".to_owned(), body()), ("safe".to_owned(), body())]);
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

/// An attempt in zone a is interrupted by a kill; the next one, after the restart, is rejected; after the next kill
/// only an endpoint in zone b is left, which does not know the key.
#[tokio::test]
async fn an_attempt_interrupted_by_a_kill_counts_as_possibly_executed_after_a_second_kill() {
    let wait = ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "60000");
    let Fixture { mut platform, mut receiver, program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse, wait], 4_000.0).await;
    program.submit("keyed", "m1", body()).await;
    receiver.next_call().await;
    program.kill().await;
    let program = Program::start(&config, &folder.state).await;
    receiver.next_call().await;
    // The outcome is recorded when the journal holds it: tag, id, and a byte for not executed.
    let outcome = async {
        while !journal_holds(&folder.state, &[3, 2, 0, 0, 0, b'm', b'1', 0]) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    with_timeout("the recorded outcome", outcome).await;
    program.kill().await;
    let mut other = Receiver::start(&[]).await;
    let mut elsewhere = member("r2", other.addr, 7, "SERVING");
    elsewhere["locality"] = "b".into();
    platform.set_list(list(8, true, &[elsewhere]));
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    assert!(other.has_no_calls() && receiver.has_no_calls());
}

#[tokio::test]
async fn attempts_before_a_kill_count_towards_the_limit() {
    // Two errors and a call in flight: one of four attempts is left for after the restart.
    let responses =
        [ScriptedResponse::Status(500), ScriptedResponse::Status(500), ScriptedResponse::NoResponse];
    let Fixture { mut platform, mut receiver, program, folder, config } =
        set_up(&responses, DEADLINE_MS).await;
    program.submit("safe", "m1", body()).await;
    for _ in 0..3 {
        receiver.next_call().await;
    }
    program.kill().await;
    receiver.then(&[ScriptedResponse::Status(500)]);
    let _program = Program::start(&config, &folder.state).await;
    receiver.next_call().await;
    let NotificationRequest { notifications: notices, .. } = platform.next_notifications().await;
    assert_eq!(notices, [Notification::deferred("m1")]);
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn a_message_that_expired_while_the_sender_was_down_is_reported_at_once() {
    let Fixture { mut platform, mut receiver, program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    program.submit_with_time_left("keyed", "m1", body(), "0.5").await;
    receiver.next_call().await;
    program.kill().await;
    // Longer than the message's lifetime.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn a_torn_or_corrupt_journal_is_recovered_as_far_as_it_is_readable() {
    let Fixture { platform: _platform, mut receiver, program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse, ScriptedResponse::NoResponse], DEADLINE_MS).await;
    for message_id in ["m1", "m2"] {
        program.submit("safe", message_id, body()).await;
        receiver.next_call().await;
    }
    program.kill().await;
    let mut files = std::fs::read_dir(&folder.state).expect("a folder").map(|file| file.expect("a file"));
    let is_segment = |file: &std::fs::DirEntry| file.file_name().to_string_lossy().starts_with("journal-");
    let journal = files.find(is_segment).expect("a segment");
    let whole = std::fs::read(journal.path()).expect("readable");
    // The body of the first message is damaged: the checksum of its record does not match.
    let mut bytes = whole.clone();
    let at = bytes.windows(4).position(|w| w == b"text").expect("a body");
    bytes[at] ^= 0xff;
    // A record of 200 bytes is torn after its frame and some bytes.
    bytes.extend([200, 0, 0, 0, 1, 2, 3, 4, 5, 6]);
    std::fs::write(journal.path(), &bytes).expect("writable");
    let program = Program::start(&config, &folder.state).await;
    assert_eq!(receiver.next_call().await.message_id, "m2");
    program.submit("safe", "m3", body()).await;
    assert_eq!(receiver.next_call().await.message_id, "m3", "a damaged message is not sent");
    assert_eq!(journal.metadata().expect("still there").len(), whole.len() as u64, "the tail is cut");
    program.kill().await;
    // A journal of garbage does not prevent a start.
    std::fs::write(journal.path(), [0xff; 999]).expect("writable");
    let program = Program::start(&config, &folder.state).await;
    assert_eq!(program.submit("safe", "m4", body()).await.status(), 202);
}

/// All pending messages are resumed after a kill, and a new client is served at once beside them.
#[tokio::test]
async fn ninety_pending_messages_and_a_retry_after_survive_a_kill() {
    let responses = [ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "6000")];
    let Fixture { mut platform, mut receiver, program, folder, config } =
        set_up(&responses, DEADLINE_MS).await;
    program.submit("safe", "m0", body()).await;
    receiver.next_call().await;
    let received_at = std::time::Instant::now();
    for n in 1..90 {
        assert_eq!(program.submit("safe", &format!("m{n}"), body()).await.status(), 202, "m{n}");
    }
    program.kill().await;
    let mut program = Program::start(&config, &folder.state).await;
    assert_eq!(program.submit("safe", "new", body()).await.status(), 202);
    let mut missing: std::collections::BTreeSet<String> = (0..90).map(|n| format!("m{n}")).collect();
    missing.insert("new".to_owned());
    missing.remove(&receiver.next_call().await.message_id);
    // A Retry-After that the killed process received binds its successor.
    let waited = received_at.elapsed().as_millis();
    assert!(waited >= 5_900, "sent {waited} ms after a Retry-After of 6 s was received");
    while !missing.is_empty() {
        missing.remove(&receiver.next_call().await.message_id);
    }
    assert!(platform.has_no_notifications());
    program.child.start_kill().expect("it runs");
    program.exit().await;
}

/// A client without a response submits the same message to a second sender, and both senders are killed twice. The key
/// is remembered in one zone: both retry there and neither in the other, without any exchange between them.
#[tokio::test]
async fn two_senders_with_the_same_message_keep_to_the_zone_that_knows_its_key_over_two_kills() {
    let (mut platform, mut here) =
        (FakePlatform::start().await, Receiver::start(&[ScriptedResponse::NoResponse; 4]).await);
    let mut other = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", here.addr, 7, "SERVING")], 9_000.0);
    config["settings"]["peers_total"] = 300.into();
    platform.set_list(config["known"].clone());
    let folders = [persistent_folder(), persistent_folder()];
    let mut senders = Vec::new();
    for folder in &folders {
        let program = Program::start(&config, &folder.state).await;
        assert_eq!(program.submit("keyed", "m1", body()).await.status(), 202);
        senders.push(program);
    }
    let mut keys = Vec::new();
    for kill in 0..2 {
        for _ in &senders {
            let call = here.next_call().await;
            keys.push((call.message_id, call.headers["idempotency-key"].clone()));
        }
        if kill == 1 {
            let mut elsewhere = member("r2", other.addr, 7, "SERVING");
            elsewhere["locality"] = "b".into();
            platform.set_list(list(8, true, &[elsewhere]));
        }
        for (program, folder) in std::mem::take(&mut senders).into_iter().zip(&folders) {
            program.kill().await;
            senders.push(Program::start(&config, &folder.state).await);
        }
    }
    assert!(keys.iter().all(|key| *key == keys[0]), "{keys:?}");
    for _ in &senders {
        assert_eq!(
            platform.next_notifications().await,
            NotificationRequest::one(Notification::undeliverable("m1"), 204)
        );
    }
    assert!(here.has_no_calls() && other.has_no_calls() && platform.has_no_notifications());
}
