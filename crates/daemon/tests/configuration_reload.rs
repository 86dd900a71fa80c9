//! SIGHUP with another discovery address: what moves to it and what stays unchanged.

mod common;

use common::fixture::{Fixture, set_up};
use common::folder::persistent_folder;
use common::program::Program;
use common::{DEADLINE_MS, body, submit_until_called};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Receiver, ScriptedResponse, Watch, config, list, member, with_timeout,
};
use tokio::io::AsyncWriteExt;

/// The configuration with another discovery address.
fn moved(config: &serde_json::Value, to: &FakePlatform) -> serde_json::Value {
    let mut config = config.clone();
    config["discovery"] = to.addr.to_string().into();
    config
}

#[tokio::test]
async fn on_sighup_discovery_and_notifications_move_to_the_new_address() {
    let Fixture { platform: mut old, receiver: mut first, mut program, folder, config } =
        set_up(&[], DEADLINE_MS).await;
    let Watch { lines, .. } = old.next_watch().await;
    // A notification that the old address never acknowledges.
    old.script_statuses(&[500; 100]);
    assert_eq!(program.submit_with_time_left("safe", "late", body(), "0").await.status(), 503);
    first.then(&[ScriptedResponse::Disconnect]);
    assert_eq!(program.submit("once", "m1", body()).await.status(), 202);
    first.next_call().await;
    assert_eq!(old.next_notifications().await.status, 500);
    // A file that cannot be used changes nothing.
    program.configure("{", &folder.state).await;
    program.wait_for_log_line("configuration not reloaded").await;
    std::fs::remove_file(folder.state.with_extension("json")).expect("a file");
    for bad in [config.to_string().replace("\"settings\"", "\"nothing\""), String::new()] {
        program.configure(&bad, &folder.state).await;
        program.wait_for_log_line("configuration not reloaded").await;
    }
    assert!(!lines.is_closed());
    // Its revisions start from 1, and its list names another receiver.
    let (mut new, mut second) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let whole = list(1, true, &[member("r2", second.addr, 7, "SERVING")]);
    new.set_list(whole);
    program.configure(&moved(&config, &new).to_string(), &folder.state).await;
    let Watch { query, lines: new_lines } = new.next_watch().await;
    assert!(query.contains("from=1"), "{query}");
    with_timeout("the old watch ends", lines.closed()).await;
    assert_eq!(new.next_notifications().await.notifications[0].message_id, "m1");
    assert_eq!(program.submit("safe", "m2", body()).await.status(), 202);
    assert_eq!(second.next_call().await.message_id, "m2");
    assert!(first.has_no_calls());
    // A second move, to a list with yet another receiver.
    let (mut third, mut last) = (FakePlatform::start().await, Receiver::start(&[]).await);
    third.set_list(list(1, true, &[member("r3", last.addr, 7, "SERVING")]));
    let config = moved(&config, &third);
    program.configure(&config.to_string(), &folder.state).await;
    let _watch = third.next_watch().await;
    with_timeout("the watch before ends", new_lines.closed()).await;
    assert_eq!(program.submit("safe", "m3", body()).await.status(), 202);
    assert_eq!(last.next_call().await.message_id, "m3");
    // A restart reads the new file. Its `known` has a higher revision, of another address.
    program.kill().await;
    let program = Program::start(&config, &folder.state).await;
    let Watch { query, lines: _lines } = third.next_watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert_eq!(program.submit("safe", "m4", body()).await.status(), 202);
    // The program may have been killed before it recorded the delivery of m3.
    while last.next_call().await.message_id != "m4" {}
    assert!(second.has_no_calls() && first.has_no_calls());
}

#[tokio::test]
async fn a_new_discovery_address_that_is_silent_leaves_the_endpoint_list_unchanged() {
    let Fixture { platform: _old, mut receiver, mut program, folder, mut config } =
        set_up(&[], DEADLINE_MS).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    program.configure(&config.to_string(), &folder.state).await;
    program.wait_for_log_line("configuration reloaded").await;
    with_timeout("a connection", silent.accept()).await.expect("a connection");
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m1");
}

/// Half of a list has been read when the configuration moves discovery: neither that half nor the rest is applied.
#[tokio::test]
async fn a_partly_read_list_is_discarded_once_discovery_has_moved() {
    let old = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (mut new, mut known) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let (mut stray, mut listed) = (Receiver::start(&[]).await, Receiver::start(&[]).await);
    let members = [member("r1", known.addr, 7, "SERVING")];
    let mut config = config(old.local_addr().expect("an address"), &members, DEADLINE_MS);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    let folder = persistent_folder();
    let mut program = Program::start(&config, &folder.state).await;
    let (mut watch, _) = with_timeout("a watch", old.accept()).await.expect("a connection");
    let whole = list(99, true, &[member("r2", stray.addr, 7, "SERVING")]).to_string() + "\n";
    let (first, rest) = whole.split_at(whole.len() / 2);
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    watch.write_all(&[head, first.as_bytes()].concat()).await.expect("writable");
    new.set_list(list(1, true, &[member("r3", listed.addr, 7, "SERVING")]));
    config["discovery"] = new.addr.to_string().into();
    program.configure(&config.to_string(), &folder.state).await;
    program.wait_for_log_line("configuration reloaded").await;
    // The write may fail: the connection may be closed.
    let _ = watch.write_all(rest.as_bytes()).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(known.next_call().await.message_id, "m1");
    with_timeout("a call to the receiver of the new list", submit_until_called(&program, &mut listed)).await;
    let Watch { query, lines: _lines } = new.next_watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert!(stray.has_no_calls());
}
