//! A start on the journal of an earlier process: order, limits, clocks and classes that changed in between.

mod common;

use std::path::Path;

use bytes::Bytes;
use common::*;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PossibleExecution, Store};
use serde_json::Value;

const HOUR: u64 = 3_600_000;

/// A message as an earlier process left it: of a class, with so much of its time left by the clock.
fn left_behind(class: &str, message_id: &str, left_ms: u64) -> Message {
    Message {
        message_id: message_id.into(),
        class: class.into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: Some(Bytes::from(format!("key-{message_id}"))),
        deadline: UnixMillis::now() + left_ms,
        body: text(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

/// An attempt to `r1`, of which no outcome is on record.
fn ran(at: UnixMillis) -> PossibleExecution {
    PossibleExecution { at, receiver: "r1".into(), zone: "a".into() }
}

/// Writes a journal as an earlier process would have: messages, and when their one attempt went out, if one did.
fn write_journal(state: &Path, messages: Vec<(Message, Option<UnixMillis>)>) {
    let mut store = Store::open(state, 3_000_000).expect("a journal");
    for (message, attempt_at) in messages {
        let message_id = message.message_id.clone();
        store.accept(message);
        store.commit().expect("written");
        if let Some(at) = attempt_at {
            store.start_attempt(&message_id, ran(at));
            store.commit().expect("written");
        }
    }
}

/// A platform and a receiver for destination 7 that the platform lists, a folder, and a configuration.
async fn site(acts: &[Act], deadline: f64) -> (FakePlatform, Receiver, Folder, Value) {
    let (platform, receiver, config) = start_peers(acts, deadline).await;
    (platform, receiver, lasting(), config)
}

/// The last message of an earlier process shows that all before it have been decided on.
async fn expect_only(receiver: &mut Receiver, message_ids: &[&str]) {
    for message_id in message_ids {
        assert_eq!(receiver.call().await.message_id, *message_id);
    }
    assert!(receiver.nothing_called());
}

// ---- The key's window over a restart -------------------------------------------------------------------

/// The window is 1 s, as short as it gets.
#[tokio::test]
async fn a_keyed_message_is_retried_after_a_restart_only_within_its_idempotency_window() {
    for (ago, repeated) in [(100, true), (1_100, false)] {
        let (mut platform, mut receiver, folder, mut config) = site(&[], DEADLINE_MS).await;
        config["settings"]["lanes"][1]["window"] = 1_000.0.into();
        write_journal(&folder.1, vec![(left_behind("keyed", "m1", 50_000), Some(UnixMillis::now() - ago))]);
        let program = Program::start(&config, &folder.1).await;
        if repeated {
            expect_only(&mut receiver, &["m1"]).await;
        } else {
            assert_eq!(platform.report().await.0, [undeliverable("m1")]);
            assert_eq!(program.hand_in("safe", "m2", text()).await.status(), 202);
            expect_only(&mut receiver, &["m2"]).await;
        }
    }
}

/// The age of an attempt is unknown, also that of one whose recorded time has come again.
#[tokio::test]
async fn a_clock_set_back_between_two_processes_restarts_no_idempotency_window() {
    let (mut platform, mut receiver, folder, config) = site(&[], DEADLINE_MS).await;
    let now = UnixMillis::now();
    let messages = vec![
        (left_behind("keyed", "m1", 50_000), Some(now - 1_000)),
        (left_behind("safe", "m2", 50_000), Some(now + HOUR)),
        (left_behind("keyed", "m3", 50_000), Some(now + HOUR)),
    ];
    write_journal(&folder.1, messages);
    let mut program = Program::start(&config, &folder.1).await;
    let mut notices = Vec::new();
    while notices.len() < 2 {
        notices.extend(platform.report().await.0);
    }
    notices.sort();
    assert_eq!(notices, [undeliverable("m1"), undeliverable("m3")]);
    // What may be repeated at will is.
    expect_only(&mut receiver, &["m2"]).await;
    program.terminate().await;
    assert!(program.exit().await.success());
    expect_only(&mut receiver, &[]).await;
}

/// There is no receiver: the message ends with its notification, and not an hour late.
#[tokio::test]
async fn a_clock_set_back_gives_no_message_more_time_than_its_class_allows() {
    let (mut platform, _receiver, folder, mut config) = site(&[], 1_000.0).await;
    config["known"]["members"] = Value::Array(Vec::new());
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    write_journal(&folder.1, vec![(left_behind("safe", "m1", HOUR), None)]);
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [("m1".to_owned(), "deferred".to_owned())]);
}

// ---- What is found untried -----------------------------------------------------------------------------

/// Untried messages of one class with one deadline, in no order.
fn untried(most: usize) -> Vec<(Message, Option<UnixMillis>)> {
    let deadline = UnixMillis::now() + 50_000;
    let message = |n| Message { deadline, ..left_behind("safe", &format!("m{:03}", n * 37 % most), 0) };
    (0..most).map(|n| (message(n), None)).collect()
}

/// No chance decides, also not that of a hash map's order: equal ones go in the order of their ids.
#[tokio::test]
async fn recovered_untried_messages_are_sent_in_one_order_whatever_the_journals_order_is() {
    let (_platform, mut receiver, folder, mut config) = site(&[], DEADLINE_MS).await;
    config["settings"]["extra"]["calls_out"] = 1.into();
    write_journal(&folder.1, untried(40));
    let _program = Program::start(&config, &folder.1).await;
    for n in 0..40 {
        assert_eq!(receiver.call().await.message_id, format!("m{n:03}"));
    }
}

/// Settings may have become smaller, and a successor takes over as much again as it holds.
#[tokio::test]
async fn more_recovered_messages_than_the_pending_limit_are_all_attempted() {
    let (mut platform, mut receiver, folder, mut config) = site(&[], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 10.into();
    write_journal(&folder.1, untried(60));
    let _program = Program::start(&config, &folder.1).await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 60 {
        seen.insert(receiver.call().await.message_id);
    }
    assert!(platform.nothing_reported());
}

/// A message that waits for capacity still reaches a final outcome.
#[tokio::test]
async fn a_recovered_message_that_never_gets_capacity_ends_at_its_deadline() {
    let (mut platform, _receiver, folder, mut config) = site(&[], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 4.into();
    config["settings"]["lanes"][1]["credit"] = 2.0.into();
    config["known"]["members"] = Value::Array(Vec::new());
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    // Those worth more have the room to themselves, and nobody is there to deliver them to.
    let first = |n| (left_behind("keyed", &format!("k{n}"), 50_000), None);
    let late = |n| (left_behind("safe", &format!("m{n}"), 1_500), None);
    write_journal(&folder.1, (0..3).map(first).chain((0..9).map(late)).collect());
    let _program = Program::start(&config, &folder.1).await;
    let mut ended = Vec::new();
    while ended.len() < 9 {
        ended.extend(platform.report().await.0);
    }
    assert!(
        ended.iter().all(|(message_id, status)| message_id.starts_with('m') && status == "deferred"),
        "{ended:?}"
    );
}

/// Both have all that they may hold.
#[tokio::test]
async fn a_successor_that_takes_over_as_much_as_it_already_has_drops_none_of_it() {
    let wait = Act::Say(429, Some(("x-backoff-ms", "3000")));
    let (mut platform, mut receiver, folder, mut config) = site(&[wait], DEADLINE_MS).await;
    config["settings"]["limits"]["most_held"] = 20.into();
    let mut old = Program::start(&config, &folder.1).await;
    assert_eq!(old.hand_in("safe", "old-0", text()).await.status(), 202);
    receiver.call().await;
    for n in 1..15 {
        assert_eq!(old.hand_in("safe", &format!("old-{n}"), text()).await.status(), 202);
    }
    let mut new = Program::start(&config, &folder.1).await;
    old.says("successor connected").await;
    for n in 0..15 {
        assert_eq!(new.hand_in("safe", &format!("new-{n}"), text()).await.status(), 202);
    }
    old.kill().await;
    new.says("journal taken over").await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 30 {
        seen.insert(receiver.call().await.message_id);
    }
    assert!(platform.nothing_reported());
}

#[tokio::test]
async fn messages_of_a_removed_class_fail_with_one_log_line() {
    let (mut platform, mut receiver, folder, config) = site(&[], DEADLINE_MS).await;
    let gone = |n| (left_behind("gone", &format!("m{n}"), 50_000), None);
    write_journal(&folder.1, (0..3).map(gone).collect());
    let mut child = spawn(&config, &folder.1);
    let mut ended = Vec::new();
    while ended.len() < 3 {
        ended.extend(platform.report().await.0);
    }
    assert_eq!(ended, [undeliverable("m0"), undeliverable("m1"), undeliverable("m2")]);
    child.start_kill().expect("it runs");
    let log = child.wait_with_output().await.expect("its log").stderr;
    let log = String::from_utf8(log).expect("text");
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("gone")).collect();
    assert_eq!(lines, ["messages failed: the settings do not have their class class=gone messages=3"]);
    assert!(receiver.nothing_called());
}
