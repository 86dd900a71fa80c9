//! Messages go to the receivers of the newest endpoint list, at the start, on changes and after restarts.

mod common;

use common::*;

#[tokio::test]
async fn a_receiver_that_drains_or_is_missing_from_a_complete_list_gets_nothing_new() {
    let (mut platform, mut first, program, _folder, _) = set_up(&[], DEADLINE_MS).await;
    let (mut second, mut third) = (Receiver::start(&[]).await, Receiver::start(&[]).await);
    let (query, lines) = platform.watch().await;
    assert!(query.contains("watch=1") && query.contains("from=7"), "{query}");
    let changes = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    lines.send(list(8, false, &changes).to_string()).expect("a watch");
    program.hand_in("safe", "probe", text()).await;
    // Until the change has been read the first one may still get a message.
    submit_until_called(&program, &mut second).await;
    while first.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.hand_in("safe", &format!("a{n}"), text()).await;
        second.call().await;
    }
    assert!(first.nothing_called());
    // The watch ends; the next one goes on from there, and brings a whole list.
    drop(lines);
    let (query, lines) = platform.watch().await;
    assert!(query.contains("from=8"), "{query}");
    let whole = list(9, true, &[member("r3", third.addr, 7, "SERVING")]).to_string();
    lines.send(whole).expect("a watch");
    submit_until_called(&program, &mut third).await;
    while second.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.hand_in("safe", &format!("b{n}"), text()).await;
        third.call().await;
    }
    assert!(first.nothing_called() && second.nothing_called());
}

/// The list in the configuration may be older than the one that the sender had before its restart.
#[tokio::test]
async fn recovered_messages_do_not_go_to_a_receiver_that_is_draining_in_the_newest_list() {
    let (platform, mut first, program, folder, config) = set_up(&[Act::Hang], DEADLINE_MS).await;
    let mut second = Receiver::start(&[]).await;
    program.hand_in("safe", "m1", text()).await;
    first.call().await;
    program.kill().await;
    let now = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    *platform.list.lock().expect("a list") = Some(list(8, true, &now));
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(second.call().await.message_id, "m1");
    assert!(first.nothing_called());
}

/// At a start of many at once the whole list would be a second request of each to a discovery that is short of time.
#[tokio::test]
async fn a_sender_of_a_large_fleet_starts_with_its_known_list_and_makes_one_request_a_watch() {
    let (mut platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    // A request for the complete list returns another receiver.
    let whole = list(9, true, &[member("r2", second.addr, 7, "SERVING")]);
    *platform.list.lock().expect("a list") = Some(whole.clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let (query, lines) = platform.watch().await;
    assert!(query.contains("watch=1") && query.contains("from=0"), "{query}");
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(first.call().await.message_id, "m1");
    // The first line of the watch brings the list.
    lines.send(whole.to_string()).expect("a watch");
    submit_until_called(&program, &mut second).await;
}

/// Where changes are pushed, a list that the agent has is in force: a sender that waited for its slot in the poll
/// schedule would go on calling receivers that are gone.
#[tokio::test]
async fn a_sender_of_a_large_fleet_with_its_own_discovery_agent_starts_with_the_agents_list() {
    let (platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 300.into();
    *platform.list.lock().expect("a list") = Some(list(9, true, &[member("r2", second.addr, 7, "SERVING")]));
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(second.call().await.message_id, "m1");
    assert!(first.nothing_called());
}

/// Discovery is overloaded while a fleet starts, and this sender is killed twice before its list arrives: pending
/// messages
/// go by the known list, and once the late one has come nothing goes to a receiver that is not in it.
#[tokio::test]
async fn a_list_that_arrives_late_after_two_restarts_is_applied_from_then_on() {
    let (mut platform, mut old) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 2]).await);
    let mut new = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", old.addr, 7, "SERVING")], DEADLINE_MS);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    let folder = lasting();
    let mut program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    for _ in 0..2 {
        assert_eq!(old.call().await.message_id, "m1");
        // Its watch has begun, and brings nothing.
        platform.watch().await;
        program.kill().await;
        program = Program::start(&config, &folder.1).await;
    }
    assert_eq!(old.call().await.message_id, "m1");
    let (query, lines) = platform.watch().await;
    assert!(query.contains("from=0"), "{query}");
    lines.send(list(9, true, &[member("r2", new.addr, 7, "SERVING")]).to_string()).expect("a watch");
    // Until it has been read the old receiver, which answers well now, may still get a message.
    soon("a call to the new receiver", submit_until_called(&program, &mut new)).await;
    while old.calls.try_recv().is_ok() {}
    for n in 0..5 {
        let message_id = format!("later{n}");
        assert_eq!(program.hand_in("safe", &message_id, text()).await.status(), 202);
        while new.call().await.message_id != message_id {}
    }
    assert!(old.nothing_called() && platform.nothing_reported());
}

/// A receiver is replaced at its address under a new id while it has calls: what may have run is not sent to the new
/// one
/// as if it never had, and new messages do not wait for the old one.
#[tokio::test]
async fn a_receiver_replaced_at_its_address_holds_up_no_call_and_gets_no_unsafe_retry() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Hang, Act::Hang], 6_000.0).await;
    let (_, lines) = platform.watch().await;
    for message_id in ["safe", "once"] {
        assert_eq!(program.hand_in(message_id, message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    let change = [member("r1", receiver.addr, 7, "GONE"), member("r9", receiver.addr, 7, "SERVING")];
    lines.send(list(8, false, &change).to_string()).expect("a watch");
    assert_eq!(program.hand_in("safe", "m3", text()).await.status(), 202);
    let mut calls = [receiver.call().await.message_id, receiver.call().await.message_id];
    calls.sort();
    assert_eq!(calls, ["m3", "safe"]);
    assert_eq!(platform.report().await, (vec![undeliverable("once")], 204));
    assert!(receiver.nothing_called() && platform.nothing_reported());
}
