//! Two processes of one sender, interrupted at each message of their handover.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::fixture::Site;
use common::program::Program;
use common::{DEADLINE_MS, body, next_notifications};
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, PossibleExecution, Status, Store};
use rudderspindle_testkit::scripted_peers::{
    Notification, NotificationRequest, Receiver, ScriptedResponse, Watch, list, member, with_timeout,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};

/// The Retry-After that an owner announces in these tests, and the one that it receives.
const WAIT: Duration = Duration::from_millis(1_500);
/// Calls within this time after a Retry-After was received are allowed, as the protocol specifies.
const GRACE_PERIOD: Duration = Duration::from_millis(100);

fn message(class: &str, message_id: &str) -> Message {
    Message {
        message_id: message_id.into(),
        class: class.into(),
        tenant: "acme".into(),
        destination: 7,
        idempotency_key: None,
        deadline: UnixMillis::now() + 50_000,
        body: body(),
        attempts: 0,
        possibly_executed: None,
        in_flight: None,
    }
}

fn socket(state: &Path) -> std::path::PathBuf {
    state.join("handover")
}

/// The messages from an owner to a successor, line by line.
fn lines() -> Vec<String> {
    let wait = WAIT.as_millis();
    vec![
        r#"{"trouble":{"destination":9,"receiver":"","trouble":{"down":{"wait":100}}}}"#.to_owned(),
        format!(r#"{{"wait":{{"destination":7,"receiver":null,"ms":{wait}.0}}}}"#),
        r#"{"out":1}"#.to_owned(),
        r#""room""#.to_owned(),
    ]
}

/// The scripted owner sends some lines and half of the next one, and exits, which releases its lock.
#[tokio::test]
async fn an_owner_that_dies_at_any_handover_message_leaves_its_pending_work_to_its_successor_once() {
    for sent in 0..=lines().len() {
        let Site { mut platform, mut receiver, folder, config } = Site::new(&[], DEADLINE_MS).await;
        let mut owner = Store::open(&folder.state, 3_000_000).expect("a journal");
        for (class, message_id) in
            [("safe", "untried"), ("once", "tried"), ("safe", "ended"), ("safe", "over")]
        {
            owner.accept(message(class, message_id));
        }
        owner.start_attempt(
            &"tried".into(),
            PossibleExecution { sent_at: UnixMillis::now(), receiver: "r1".into(), zone: "a".into() },
        );
        owner.commit().expect("written");
        owner.complete(&"ended".into(), Some(Status::Undeliverable));
        owner.complete(&"over".into(), None);
        owner.commit().expect("written");
        let listener = UnixListener::bind(socket(&folder.state)).expect("a socket");
        let starting = tokio::spawn({
            let (config, state) = (config.clone(), folder.state.clone());
            async move { Program::start(&config, &state).await }
        });
        let (stream, _) = with_timeout("a successor", listener.accept()).await.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut hello = String::new();
        with_timeout("a line", stream.read_line(&mut hello)).await.expect("readable");
        assert_eq!(hello, "{\"hello\":2}\n");
        let mut messages: String = lines()[..sent].iter().map(|line| format!("{line}\n")).collect();
        messages.extend(lines().get(sent).map(|line| line[..line.len() / 2].to_owned()));
        stream.write_all(messages.as_bytes()).await.expect("writable");
        let received_at = Instant::now();
        drop((stream, listener, owner));
        let mut program = starting.await.expect("it starts");
        program.wait_for_log_line("journal taken over messages=2 notifications=1").await;
        let call = receiver.next_call().await;
        assert_eq!(call.message_id, "untried", "{sent} lines");
        let after = call.at.duration_since(received_at);
        let has_backoff = sent >= 2;
        assert!(
            !has_backoff || after > WAIT - Duration::from_millis(50),
            "{sent} lines, called after {after:?}"
        );
        let expected = [Notification::undeliverable("ended"), Notification::undeliverable("tried")];
        assert_eq!(next_notifications(&mut platform, 2).await, expected, "{sent} lines");
        assert!(receiver.has_no_calls() && platform.has_no_notifications(), "{sent} lines");
    }
}

/// Any local process can connect to the socket and send anything or nothing.
#[tokio::test]
async fn silent_or_malformed_connections_do_not_keep_a_successor_from_being_informed() {
    let Site { platform: _platform, mut receiver, folder, config } = Site::new(&[], DEADLINE_MS).await;
    let mut old = Program::start(&config, &folder.state).await;
    let mut rogues = Vec::new();
    let long = vec![b'x'; 5_000];
    for bytes in
        [&b""[..], b"{\"hello\":", b"nonsense\n", b"{\"hello\":3}\n", b"\"room\"\n", b"\n", &long, b""]
    {
        let mut rogue = UnixStream::connect(socket(&folder.state)).await.expect("a connection");
        // It may be disconnected while it is still writing.
        let _ = rogue.write_all(bytes).await;
        rogues.push(rogue);
    }
    let new = Program::start(&config, &folder.state).await;
    old.wait_for_log_line("successor connected").await;
    receiver.then(&[ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "1500")]);
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m1");
    let received_at = Instant::now();
    // Calls that cross the announcement are allowed; later ones show whether the new process has received it.
    tokio::time::sleep(GRACE_PERIOD).await;
    assert_eq!(new.submit("safe", "m2", body()).await.status(), 202);
    for _ in 0..2 {
        let call = receiver.next_call().await;
        let after = call.at.duration_since(received_at);
        assert!(after > WAIT - Duration::from_millis(50), "{} arrived after {after:?}", call.message_id);
    }
}

/// The owner keeps the folder when a successor exits or its connection breaks.
#[tokio::test]
async fn a_successor_that_dies_during_the_handover_makes_way_for_the_next_one() {
    let Site { platform: _platform, mut receiver, folder, config } =
        Site::new(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let mut old = Program::start(&config, &folder.state).await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m1");
    let mut before = None;
    for _ in 0..2 {
        let mut next = UnixStream::connect(socket(&folder.state)).await.expect("a connection");
        next.write_all(b"{\"hello\":1}\n").await.expect("writable");
        if let Some(before) = before.replace(next) {
            // Later connections are read too: the previous one ends only now that the next one has sent its message.
            let mut stranger = UnixStream::connect(socket(&folder.state)).await.expect("a connection");
            stranger.write_all(b"{\"hello\":3}\n").await.expect("writable");
            old.wait_for_log_line("handover rejected: unexpected first message").await;
            drop(before);
        }
        old.wait_for_log_line("successor connected").await;
    }
    drop(before);
    let mut new = Program::start(&config, &folder.state).await;
    old.wait_for_log_line("successor connected").await;
    old.kill().await;
    new.wait_for_log_line("journal taken over messages=1 ").await;
    assert_eq!(receiver.next_call().await.message_id, "m1");
    assert!(receiver.has_no_calls());
}

#[tokio::test]
async fn when_both_processes_die_a_third_one_takes_over_the_pending_work_of_both_once() {
    let Site { mut platform, mut receiver, folder, config } =
        Site::new(&[ScriptedResponse::NoResponse; 4], DEADLINE_MS).await;
    // Notifications are not acknowledged.
    platform.script_statuses(&[500; 1_000]);
    let mut old = Program::start(&config, &folder.state).await;
    for (class, message_id) in [("safe", "old-safe"), ("once", "old-once")] {
        assert_eq!(old.submit(class, message_id, body()).await.status(), 202);
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
    let new = Program::start(&config, &folder.state).await;
    old.wait_for_log_line("successor connected").await;
    for (class, message_id) in [("safe", "new-safe"), ("once", "new-once")] {
        assert_eq!(new.submit(class, message_id, body()).await.status(), 202);
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
    // The second process may have taken over the messages of the first one, or not.
    new.kill().await;
    old.kill().await;
    let third = Program::start(&config, &folder.state).await;
    let mut again = [receiver.next_call().await.message_id, receiver.next_call().await.message_id];
    again.sort();
    assert_eq!(again, ["new-safe", "old-safe"]);
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < 2 {
        let NotificationRequest { notifications: notices, status } = platform.next_notifications().await;
        assert_eq!(status, 500);
        seen.extend(notices);
    }
    assert_eq!(
        seen.into_iter().collect::<Vec<_>>(),
        [Notification::undeliverable("new-once"), Notification::undeliverable("old-once")]
    );
    assert_eq!(third.submit("safe", "m5", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m5");
    assert!(receiver.has_no_calls());
}

/// Each process has its own watch; messages that are taken over use the changed list.
#[tokio::test]
async fn an_endpoint_list_that_changes_while_both_run_is_applied_by_both() {
    let Site { mut platform, receiver: mut first, folder, config } =
        Site::new(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let mut second = Receiver::start(&[]).await;
    let old = Program::start(&config, &folder.state).await;
    let Watch { lines: to_old, .. } = platform.next_watch().await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(first.next_call().await.message_id, "m1");
    let mut new = Program::start(&config, &folder.state).await;
    let Watch { lines: to_new, .. } = platform.next_watch().await;
    let drained = member("r1", first.addr, 7, "DRAINING");
    let change = list(8, false, &[drained, member("r2", second.addr, 7, "SERVING")]);
    for watch in [&to_old, &to_new] {
        watch.send(change.to_string()).expect("it watches");
    }
    for (name, program) in [("old", &old), ("new", &new)] {
        // Messages are sent to the old receiver until the process has read the change.
        for n in 0.. {
            let message_id = format!("{name}-{n}");
            assert_eq!(program.submit("safe", &message_id, body()).await.status(), 202);
            let call = tokio::select! {
                call = first.next_call() => (1, call.message_id),
                call = second.next_call() => (2, call.message_id),
            };
            assert_eq!(call.1, message_id);
            if call.0 == 2 {
                break;
            }
        }
    }
    old.kill().await;
    new.wait_for_log_line("journal taken over").await;
    // The completion of the last message may not have been recorded.
    while second.next_call().await.message_id != "m1" {}
    assert!(first.has_no_calls());
}
