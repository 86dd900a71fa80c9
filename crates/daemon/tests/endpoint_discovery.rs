//! Messages are sent to the receivers of the newest endpoint list, at the start, on changes and after restarts.

mod common;

use common::fixture::{Fixture, set_up};
use common::folder::persistent_folder;
use common::program::Program;
use common::{DEADLINE_MS, body, submit_until_called};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Notification, NotificationRequest, Receiver, ScriptedResponse, Watch, config, list, member,
    with_timeout,
};

#[tokio::test]
async fn a_receiver_that_drains_or_is_missing_from_a_complete_list_gets_nothing_new() {
    let Fixture { mut platform, receiver: mut first, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let (mut second, mut third) = (Receiver::start(&[]).await, Receiver::start(&[]).await);
    let Watch { query, lines } = platform.next_watch().await;
    assert!(query.contains("watch=1") && query.contains("from=7"), "{query}");
    let changes = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    lines.send(list(8, false, &changes).to_string()).expect("a watch");
    program.submit("safe", "probe", body()).await;
    // The first receiver may get messages until the change has been read.
    submit_until_called(&program, &mut second).await;
    while first.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.submit("safe", &format!("a{n}"), body()).await;
        second.next_call().await;
    }
    assert!(first.has_no_calls());
    // The watch ends; the next one starts from its revision and sends a complete list.
    drop(lines);
    let Watch { query, lines } = platform.next_watch().await;
    assert!(query.contains("from=8"), "{query}");
    let whole = list(9, true, &[member("r3", third.addr, 7, "SERVING")]).to_string();
    lines.send(whole).expect("a watch");
    submit_until_called(&program, &mut third).await;
    while second.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.submit("safe", &format!("b{n}"), body()).await;
        third.next_call().await;
    }
    assert!(first.has_no_calls() && second.has_no_calls());
}

/// The list in the configuration may be older than the one that the sender had before its restart.
#[tokio::test]
async fn recovered_messages_do_not_go_to_a_receiver_that_is_draining_in_the_newest_list() {
    let Fixture { platform, receiver: mut first, program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let mut second = Receiver::start(&[]).await;
    program.submit("safe", "m1", body()).await;
    first.next_call().await;
    program.kill().await;
    let now = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    platform.set_list(list(8, true, &now));
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(second.next_call().await.message_id, "m1");
    assert!(first.has_no_calls());
}

/// Requests for the complete list would double the load on discovery when a fleet starts.
#[tokio::test]
async fn a_sender_of_a_large_fleet_starts_with_its_known_list_and_makes_one_request_a_watch() {
    let (mut platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    // A request for the complete list returns another receiver.
    let whole = list(9, true, &[member("r2", second.addr, 7, "SERVING")]);
    platform.set_list(whole.clone());
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    let Watch { query, lines } = platform.next_watch().await;
    assert!(query.contains("watch=1") && query.contains("from=0"), "{query}");
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(first.next_call().await.message_id, "m1");
    // The first line of the watch is the list.
    lines.send(whole.to_string()).expect("a watch");
    submit_until_called(&program, &mut second).await;
}

/// With its own discovery service a sender does not wait for its slot in the poll schedule, so that it does not call
/// receivers that have left the list.
#[tokio::test]
async fn a_sender_of_a_large_fleet_with_its_own_discovery_service_starts_with_the_list_of_that() {
    let (platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 300.into();
    platform.set_list(list(9, true, &[member("r2", second.addr, 7, "SERVING")]));
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(second.next_call().await.message_id, "m1");
    assert!(first.has_no_calls());
}

/// Discovery is overloaded while a fleet starts, and this sender is killed twice before its list arrives: pending
/// messages use the known list, and once the late one has arrived only its receivers.
#[tokio::test]
async fn a_list_that_arrives_late_after_two_restarts_is_applied_from_then_on() {
    let (mut platform, mut old) =
        (FakePlatform::start().await, Receiver::start(&[ScriptedResponse::NoResponse; 2]).await);
    let mut new = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", old.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    let folder = persistent_folder();
    let mut program = Program::start(&config, &folder.state).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    for _ in 0..2 {
        assert_eq!(old.next_call().await.message_id, "m1");
        // Its watch has started and sends nothing.
        platform.next_watch().await;
        program.kill().await;
        program = Program::start(&config, &folder.state).await;
    }
    assert_eq!(old.next_call().await.message_id, "m1");
    let Watch { query, lines } = platform.next_watch().await;
    assert!(query.contains("from=0"), "{query}");
    lines.send(list(9, true, &[member("r2", new.addr, 7, "SERVING")]).to_string()).expect("a watch");
    // The old receiver, which now responds with 200, may get messages until the list has been read.
    with_timeout("a call to the new receiver", submit_until_called(&program, &mut new)).await;
    while old.calls.try_recv().is_ok() {}
    for n in 0..5 {
        let message_id = format!("later{n}");
        assert_eq!(program.submit("safe", &message_id, body()).await.status(), 202);
        while new.next_call().await.message_id != message_id {}
    }
    assert!(old.has_no_calls() && platform.has_no_notifications());
}

/// A receiver is replaced at its address under a new id while it has calls: possibly executed messages stay so at the new
/// one, and new messages do not wait for the old one.
#[tokio::test]
async fn a_receiver_replaced_at_its_address_holds_up_no_call_and_gets_no_unsafe_retry() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::NoResponse, ScriptedResponse::NoResponse], 6_000.0).await;
    let Watch { lines, .. } = platform.next_watch().await;
    for message_id in ["safe", "once"] {
        assert_eq!(program.submit(message_id, message_id, body()).await.status(), 202);
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
    let change = [member("r1", receiver.addr, 7, "GONE"), member("r9", receiver.addr, 7, "SERVING")];
    lines.send(list(8, false, &change).to_string()).expect("a watch");
    assert_eq!(program.submit("safe", "m3", body()).await.status(), 202);
    let mut calls = [receiver.next_call().await.message_id, receiver.next_call().await.message_id];
    calls.sort();
    assert_eq!(calls, ["m3", "safe"]);
    assert_eq!(
        platform.next_notifications().await,
        NotificationRequest::one(Notification::undeliverable("once"), 204)
    );
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}
