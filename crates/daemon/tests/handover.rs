//! Two processes of one sender, interrupted at each message of their handover.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::*;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PossibleExecution, Status, Store};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};

/// The Retry-After that an owner announces in these tests, and the one that it receives.
const WAIT: Duration = Duration::from_millis(1_500);
/// Calls within this time after a Retry-After was received are let through, as the protocol specifies.
const CROSSED: Duration = Duration::from_millis(100);

fn message(class: &str, message_id: &str) -> Message {
    Message {
        message_id: message_id.into(),
        class: class.into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: None,
        deadline: UnixMillis::now() + 50_000,
        body: text(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

/// A platform, receivers `r1` and `r2` of which `r1` alone is listed, a folder, and a configuration.
async fn site(acts: &[Act]) -> (FakePlatform, [Receiver; 2], Folder, Value) {
    let platform = FakePlatform::start().await;
    let receivers = [Receiver::start(acts).await, Receiver::start(&[]).await];
    let config = config(platform.addr, &[member("r1", receivers[0].addr, 7, "SERVING")], DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    (platform, receivers, lasting(), config)
}

fn socket(state: &Path) -> std::path::PathBuf {
    state.join("handover")
}

/// What an owner says to a successor, line by line.
fn lines() -> Vec<String> {
    let wait = WAIT.as_millis();
    vec![
        r#"{"trouble":{"destination":9,"receiver":"","trouble":{"down":{"wait":100}}}}"#.to_owned(),
        format!(r#"{{"wait":{{"destination":7,"receiver":null,"ms":{wait}.0}}}}"#),
        r#"{"out":1}"#.to_owned(),
        r#""room""#.to_owned(),
    ]
}

/// The owner is scripted: it says so many lines and half of the next one, and is gone, with its lock.
#[tokio::test]
async fn an_owner_that_dies_at_any_handover_message_leaves_its_pending_work_to_its_successor_once() {
    for said in 0..=lines().len() {
        let (mut platform, [mut receiver, _], folder, config) = site(&[]).await;
        let mut owner = Store::open(&folder.1, 3_000_000).expect("a journal");
        for (class, message_id) in
            [("safe", "untried"), ("once", "tried"), ("safe", "ended"), ("safe", "over")]
        {
            owner.accept(message(class, message_id));
        }
        owner.start_attempt(
            &"tried".into(),
            PossibleExecution { at: UnixMillis::now(), receiver: "r1".into(), zone: "a".into() },
        );
        owner.commit().expect("written");
        owner.complete(&"ended".into(), Some(Status::Undeliverable));
        owner.complete(&"over".into(), None);
        owner.commit().expect("written");
        let listener = UnixListener::bind(socket(&folder.1)).expect("a socket");
        let starting = tokio::spawn({
            let (config, state) = (config.clone(), folder.1.clone());
            async move { Program::start(&config, &state).await }
        });
        let (stream, _) = soon("a successor", listener.accept()).await.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut hello = String::new();
        soon("a line", stream.read_line(&mut hello)).await.expect("readable");
        assert_eq!(hello, "{\"hello\":1}\n");
        let mut messages: String = lines()[..said].iter().map(|line| format!("{line}\n")).collect();
        messages.extend(lines().get(said).map(|line| line[..line.len() / 2].to_owned()));
        stream.write_all(messages.as_bytes()).await.expect("writable");
        let received_at = Instant::now();
        drop((stream, listener, owner));
        let mut program = starting.await.expect("it starts");
        program.says("journal taken over messages=2 notifications=1").await;
        let call = receiver.call().await;
        assert_eq!(call.message_id, "untried", "{said} lines");
        let after = call.at.duration_since(received_at);
        let heard = said >= 2;
        assert!(!heard || after > WAIT - Duration::from_millis(50), "{said} lines, called after {after:?}");
        let expected = [undeliverable("ended"), undeliverable("tried")];
        assert_eq!(notifications(&mut platform, 2).await, expected, "{said} lines");
        assert!(receiver.nothing_called() && platform.nothing_reported(), "{said} lines");
    }
}

/// Whoever can reach the socket may say anything or nothing, and stay.
#[tokio::test]
async fn silent_or_malformed_connections_do_not_keep_a_successor_from_being_informed() {
    let (_platform, [mut receiver, _], folder, config) = site(&[]).await;
    let mut old = Program::start(&config, &folder.1).await;
    let mut rogues = Vec::new();
    let long = vec![b'x'; 5_000];
    for said in
        [&b""[..], b"{\"hello\":", b"nonsense\n", b"{\"hello\":2}\n", b"\"room\"\n", b"\n", &long, b""]
    {
        let mut rogue = UnixStream::connect(socket(&folder.1)).await.expect("a connection");
        // It may be disconnected while it is still writing.
        let _ = rogue.write_all(said).await;
        rogues.push(rogue);
    }
    let new = Program::start(&config, &folder.1).await;
    old.says("successor connected").await;
    receiver.then(&[Act::Say(429, Some(("x-backoff-ms", "1500")))]);
    assert_eq!(old.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
    let received_at = Instant::now();
    // Calls that cross the announcement are let through: only later ones show whether the new process has received it.
    tokio::time::sleep(CROSSED).await;
    assert_eq!(new.hand_in("safe", "m2", text()).await.status(), 202);
    for _ in 0..2 {
        let call = receiver.call().await;
        let after = call.at.duration_since(received_at);
        assert!(after > WAIT - Duration::from_millis(50), "{} came after {after:?}", call.message_id);
    }
}

/// A successor that is gone at once, or whose connection breaks, leaves the owner the whole folder.
#[tokio::test]
async fn a_successor_that_dies_during_the_handover_makes_way_for_the_next_one() {
    let (_platform, [mut receiver, _], folder, config) = site(&[Act::Hang]).await;
    let mut old = Program::start(&config, &folder.1).await;
    assert_eq!(old.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
    let mut before = None;
    for _ in 0..2 {
        let mut next = UnixStream::connect(socket(&folder.1)).await.expect("a connection");
        next.write_all(b"{\"hello\":1}\n").await.expect("writable");
        if let Some(before) = before.replace(next) {
            // Later connections are read too: the previous one ends only now that the next one has sent its message.
            let mut stranger = UnixStream::connect(socket(&folder.1)).await.expect("a connection");
            stranger.write_all(b"{\"hello\":2}\n").await.expect("writable");
            old.says("handover rejected: unexpected first message").await;
            drop(before);
        }
        old.says("successor connected").await;
    }
    drop(before);
    let mut new = Program::start(&config, &folder.1).await;
    old.says("successor connected").await;
    old.kill().await;
    new.says("journal taken over messages=1 ").await;
    assert_eq!(receiver.call().await.message_id, "m1");
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn when_both_processes_die_a_third_one_takes_over_the_pending_work_of_both_once() {
    let (mut platform, [mut receiver, _], folder, config) = site(&[Act::Hang; 4]).await;
    // Nobody acknowledges notifications until the third process runs.
    platform.answer_reports(&[500; 1_000]);
    let mut old = Program::start(&config, &folder.1).await;
    for (class, message_id) in [("safe", "old-safe"), ("once", "old-once")] {
        assert_eq!(old.hand_in(class, message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    let new = Program::start(&config, &folder.1).await;
    old.says("successor connected").await;
    for (class, message_id) in [("safe", "new-safe"), ("once", "new-once")] {
        assert_eq!(new.hand_in(class, message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    // In either order; the second one may have taken over the messages of the first one by then, or not.
    new.kill().await;
    old.kill().await;
    let third = Program::start(&config, &folder.1).await;
    let mut again = [receiver.call().await.message_id, receiver.call().await.message_id];
    again.sort();
    assert_eq!(again, ["new-safe", "old-safe"]);
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 2 {
        let (notices, status) = platform.report().await;
        assert_eq!(status, 500);
        seen.extend(notices);
    }
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), [undeliverable("new-once"), undeliverable("old-once")]);
    assert_eq!(third.hand_in("safe", "m5", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m5");
    assert!(receiver.nothing_called());
}

/// Each of the two has its own watch; what is taken over goes by the list as it is by then.
#[tokio::test]
async fn an_endpoint_list_that_changes_while_both_run_is_applied_by_both() {
    let (mut platform, [mut first, mut second], folder, config) = site(&[Act::Hang]).await;
    let old = Program::start(&config, &folder.1).await;
    let (_, to_old) = platform.watch().await;
    assert_eq!(old.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(first.call().await.message_id, "m1");
    let mut new = Program::start(&config, &folder.1).await;
    let (_, to_new) = platform.watch().await;
    let drained = member("r1", first.addr, 7, "DRAINING");
    let change = list(8, false, &[drained, member("r2", second.addr, 7, "SERVING")]);
    for watch in [&to_old, &to_new] {
        watch.send(change.to_string()).expect("it watches");
    }
    for (name, program) in [("old", &old), ("new", &new)] {
        // Until the change has come to it, messages go where they went.
        for n in 0.. {
            let message_id = format!("{name}-{n}");
            assert_eq!(program.hand_in("safe", &message_id, text()).await.status(), 202);
            let call = tokio::select! {
                call = first.call() => (1, call.message_id),
                call = second.call() => (2, call.message_id),
            };
            assert_eq!(call.1, message_id);
            if call.0 == 2 {
                break;
            }
        }
    }
    old.kill().await;
    new.says("journal taken over").await;
    // The end of the last one may not have been on record yet.
    while second.call().await.message_id != "m1" {}
    assert!(first.nothing_called());
}
