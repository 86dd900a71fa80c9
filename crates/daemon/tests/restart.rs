//! A start on the journal of an earlier process: order, limits, clocks and classes that changed in between.

mod common;

use std::path::Path;

use bytes::Bytes;
use common::fixture::Site;
use common::program::{Program, spawn};
use common::{DEADLINE_MS, body, next_notifications};
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PossibleExecution, Store};
use rudderspindle_testkit::scripted_peers::{Notification, Receiver, ScriptedResponse};
use serde_json::Value;

const HOUR_MS: u64 = 3_600_000;

/// A pending message of an earlier process.
fn pending_message(class: &str, message_id: &str, left_ms: u64) -> Message {
    Message {
        message_id: message_id.into(),
        class: class.into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: Some(Bytes::from(format!("key-{message_id}"))),
        deadline: UnixMillis::now() + left_ms,
        body: body(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

/// An attempt at `r1` without a recorded outcome.
fn attempt(sent_at: UnixMillis) -> PossibleExecution {
    PossibleExecution { sent_at, receiver: "r1".into(), zone: "a".into() }
}

/// A message in the journal of an earlier process.
struct Recorded {
    message: Message,
    /// When its only attempt started, if there was one.
    attempt_at: Option<UnixMillis>,
}

fn not_attempted(message: Message) -> Recorded {
    Recorded { message, attempt_at: None }
}

fn attempted(message: Message, at: UnixMillis) -> Recorded {
    Recorded { message, attempt_at: Some(at) }
}

/// Writes the journal of an earlier process.
fn write_journal(state: &Path, messages: Vec<Recorded>) {
    let mut store = Store::open(state, 3_000_000).expect("a journal");
    for Recorded { message, attempt_at } in messages {
        let message_id = message.message_id.clone();
        store.accept(message);
        store.commit().expect("written");
        if let Some(at) = attempt_at {
            store.start_attempt(&message_id, attempt(at));
            store.commit().expect("written");
        }
    }
}

/// Checks that exactly these messages are called, in this order.
async fn expect_only(receiver: &mut Receiver, message_ids: &[&str]) {
    for message_id in message_ids {
        assert_eq!(receiver.next_call().await.message_id, *message_id);
    }
    assert!(receiver.has_no_calls());
}

/// The window is 1 s, the shortest that is valid.
#[tokio::test]
async fn a_keyed_message_is_retried_after_a_restart_only_within_its_idempotency_window() {
    for (ago, repeated) in [(100, true), (1_100, false)] {
        let Site { mut platform, mut receiver, folder, mut config } = Site::new(&[], DEADLINE_MS).await;
        config["settings"]["lanes"][1]["window"] = 1_000.0.into();
        write_journal(
            &folder.state,
            vec![attempted(pending_message("keyed", "m1", 50_000), UnixMillis::now() - ago)],
        );
        let program = Program::start(&config, &folder.state).await;
        if repeated {
            expect_only(&mut receiver, &["m1"]).await;
        } else {
            assert_eq!(
                platform.next_notifications().await.notifications,
                [Notification::undeliverable("m1")]
            );
            assert_eq!(program.submit("safe", "m2", body()).await.status(), 202);
            expect_only(&mut receiver, &["m2"]).await;
        }
    }
}

/// After the clock was set back the age of an attempt is unknown, even if its recorded time is in the past.
#[tokio::test]
async fn a_clock_set_back_between_two_processes_restarts_no_idempotency_window() {
    let Site { mut platform, mut receiver, folder, config } = Site::new(&[], DEADLINE_MS).await;
    let now = UnixMillis::now();
    let messages = vec![
        attempted(pending_message("keyed", "m1", 50_000), now - 1_000),
        attempted(pending_message("safe", "m2", 50_000), now + HOUR_MS),
        attempted(pending_message("keyed", "m3", 50_000), now + HOUR_MS),
    ];
    write_journal(&folder.state, messages);
    let mut program = Program::start(&config, &folder.state).await;
    let expected = [Notification::undeliverable("m1"), Notification::undeliverable("m3")];
    assert_eq!(next_notifications(&mut platform, 2).await, expected);
    // The idempotent message is retried.
    expect_only(&mut receiver, &["m2"]).await;
    program.terminate().await;
    assert!(program.exit().await.success());
    expect_only(&mut receiver, &[]).await;
}

/// There is no receiver: the message ends with its notification at the deadline of its class.
#[tokio::test]
async fn a_clock_set_back_gives_no_message_more_time_than_its_class_allows() {
    let Site { mut platform, receiver: _receiver, folder, mut config } = Site::new(&[], 1_000.0).await;
    config["known"]["members"] = Value::Array(Vec::new());
    platform.set_list(config["known"].clone());
    write_journal(&folder.state, vec![not_attempted(pending_message("safe", "m1", HOUR_MS))]);
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::deferred("m1")]);
}

/// Messages of one class with one deadline that were not attempted, in no order.
fn not_attempted_messages(count: usize) -> Vec<Recorded> {
    let deadline = UnixMillis::now() + 50_000;
    let message = |n| Message { deadline, ..pending_message("safe", &format!("m{:03}", n * 37 % count), 0) };
    (0..count).map(|n| not_attempted(message(n))).collect()
}

/// Equal messages are sent in the order of their ids, not in a hash map's order.
#[tokio::test]
async fn recovered_messages_without_attempts_are_sent_in_one_order_for_any_order_of_the_journal() {
    let Site { platform: _platform, mut receiver, folder, mut config } = Site::new(&[], DEADLINE_MS).await;
    config["settings"]["extra"]["calls_out"] = 1.into();
    write_journal(&folder.state, not_attempted_messages(40));
    let _program = Program::start(&config, &folder.state).await;
    for n in 0..40 {
        assert_eq!(receiver.next_call().await.message_id, format!("m{n:03}"));
    }
}

/// A limit may be lower after a restart, and a successor takes over messages beyond its own limit.
#[tokio::test]
async fn more_recovered_messages_than_the_pending_limit_are_all_attempted() {
    let Site { mut platform, mut receiver, folder, mut config } = Site::new(&[], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 10.into();
    write_journal(&folder.state, not_attempted_messages(60));
    let _program = Program::start(&config, &folder.state).await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 60 {
        seen.insert(receiver.next_call().await.message_id);
    }
    assert!(platform.has_no_notifications());
}

/// A message that waits for capacity still reaches a final outcome.
#[tokio::test]
async fn a_recovered_message_that_never_gets_capacity_ends_at_its_deadline() {
    let Site { mut platform, receiver: _receiver, folder, mut config } = Site::new(&[], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 4.into();
    config["settings"]["lanes"][1]["credit"] = 2.0.into();
    config["known"]["members"] = Value::Array(Vec::new());
    platform.set_list(config["known"].clone());
    // The messages of higher value use the whole capacity, and there is no receiver.
    let first = |n| not_attempted(pending_message("keyed", &format!("k{n}"), 50_000));
    let late = |n| not_attempted(pending_message("safe", &format!("m{n}"), 1_500));
    write_journal(&folder.state, (0..3).map(first).chain((0..9).map(late)).collect());
    let _program = Program::start(&config, &folder.state).await;
    let mut ended = Vec::new();
    while ended.len() < 9 {
        ended.extend(platform.next_notifications().await.notifications);
    }
    let is_expected = |ended: &Notification| ended.message_id.starts_with('m') && ended.status == "deferred";
    assert!(ended.iter().all(is_expected), "{ended:?}");
}

/// Both processes are at their pending limit.
#[tokio::test]
async fn a_successor_at_its_pending_limit_drops_no_message_that_it_takes_over() {
    let wait = ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "3000");
    let Site { mut platform, mut receiver, folder, mut config } = Site::new(&[wait], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 20.into();
    let mut old = Program::start(&config, &folder.state).await;
    assert_eq!(old.submit("safe", "old-0", body()).await.status(), 202);
    receiver.next_call().await;
    for n in 1..15 {
        assert_eq!(old.submit("safe", &format!("old-{n}"), body()).await.status(), 202);
    }
    let mut new = Program::start(&config, &folder.state).await;
    old.wait_for_log_line("successor connected").await;
    for n in 0..15 {
        assert_eq!(new.submit("safe", &format!("new-{n}"), body()).await.status(), 202);
    }
    old.kill().await;
    new.wait_for_log_line("journal taken over").await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 30 {
        seen.insert(receiver.next_call().await.message_id);
    }
    assert!(platform.has_no_notifications());
}

#[tokio::test]
async fn messages_of_a_removed_class_fail_with_one_log_line() {
    let Site { mut platform, mut receiver, folder, config } = Site::new(&[], DEADLINE_MS).await;
    let gone = |n| not_attempted(pending_message("gone", &format!("m{n}"), 50_000));
    write_journal(&folder.state, (0..3).map(gone).collect());
    let mut child = spawn(&config, &folder.state);
    let mut ended = Vec::new();
    while ended.len() < 3 {
        ended.extend(platform.next_notifications().await.notifications);
    }
    assert_eq!(
        ended,
        [
            Notification::undeliverable("m0"),
            Notification::undeliverable("m1"),
            Notification::undeliverable("m2")
        ]
    );
    child.start_kill().expect("it runs");
    let log = child.wait_with_output().await.expect("its log").stderr;
    let log = String::from_utf8(log).expect("text");
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("gone")).collect();
    assert_eq!(lines, ["messages failed: the settings do not have their class class=gone messages=3"]);
    assert!(receiver.has_no_calls());
}
