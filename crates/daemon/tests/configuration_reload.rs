//! SIGHUP with another discovery address: what moves there, and what stays as it was.

mod common;

use common::*;
use tokio::io::AsyncWriteExt;

/// The configuration with discovery elsewhere.
fn moved(config: &serde_json::Value, to: &FakePlatform) -> serde_json::Value {
    let mut config = config.clone();
    config["discovery"] = to.addr.to_string().into();
    config
}

#[tokio::test]
async fn on_sighup_discovery_and_notifications_move_to_the_new_address() {
    let (mut old, mut first, mut program, folder, config) = set_up(&[], DEADLINE_MS).await;
    let (_, lines) = old.watch().await;
    // A notification that the old address never acknowledges.
    old.answer_reports(&[500; 100]);
    assert_eq!(program.hand_in_within("safe", "late", text(), "0").await.status(), 503);
    first.then(&[Act::Break]);
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    first.call().await;
    assert_eq!(old.report().await.1, 500);
    // A file that cannot be used changes nothing.
    program.configure("{", &folder.1).await;
    program.says("configuration not reloaded").await;
    std::fs::remove_file(folder.1.with_extension("json")).expect("a file");
    for bad in [config.to_string().replace("\"settings\"", "\"nothing\""), String::new()] {
        program.configure(&bad, &folder.1).await;
        program.says("configuration not reloaded").await;
    }
    assert!(!lines.is_closed());
    // Revisions start anew there, and the list names another receiver.
    let (mut new, mut second) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let whole = list(1, true, &[member("r2", second.addr, 7, "SERVING")]);
    *new.list.lock().expect("a list") = Some(whole);
    program.configure(&moved(&config, &new).to_string(), &folder.1).await;
    let (query, new_lines) = new.watch().await;
    assert!(query.contains("from=1"), "{query}");
    soon("the old watch ends", lines.closed()).await;
    assert_eq!(new.report().await.0[0].0, "m1");
    assert_eq!(program.hand_in("safe", "m2", text()).await.status(), 202);
    assert_eq!(second.call().await.message_id, "m2");
    assert!(first.nothing_called());
    // And a second time, with a list of its own again.
    let (mut third, mut last) = (FakePlatform::start().await, Receiver::start(&[]).await);
    *third.list.lock().expect("a list") = Some(list(1, true, &[member("r3", last.addr, 7, "SERVING")]));
    let config = moved(&config, &third);
    program.configure(&config.to_string(), &folder.1).await;
    let _watch = third.watch().await;
    soon("the watch before ends", new_lines.closed()).await;
    assert_eq!(program.hand_in("safe", "m3", text()).await.status(), 202);
    assert_eq!(last.call().await.message_id, "m3");
    // A restart reads the new file. Its `known` is of an address that counted farther.
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    let (query, _lines) = third.watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert_eq!(program.hand_in("safe", "m4", text()).await.status(), 202);
    // The kill may have come before m3's delivery was on record.
    while last.call().await.message_id != "m4" {}
    assert!(second.nothing_called() && first.nothing_called());
}

/// While the new address is silent the last endpoint list stays in force.
#[tokio::test]
async fn a_new_discovery_address_that_is_silent_leaves_the_endpoint_list_unchanged() {
    let (_old, mut receiver, mut program, folder, mut config) = set_up(&[], DEADLINE_MS).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    program.configure(&config.to_string(), &folder.1).await;
    program.says("configuration reloaded").await;
    soon("a connection", silent.accept()).await.expect("a connection");
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
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
    let folder = lasting();
    let mut program = Program::start(&config, &folder.1).await;
    let (mut watch, _) = soon("a watch", old.accept()).await.expect("a connection");
    let whole = list(99, true, &[member("r2", stray.addr, 7, "SERVING")]).to_string() + "\n";
    let (first, rest) = whole.split_at(whole.len() / 2);
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    watch.write_all(&[head, first.as_bytes()].concat()).await.expect("writable");
    *new.list.lock().expect("a list") = Some(list(1, true, &[member("r3", listed.addr, 7, "SERVING")]));
    config["discovery"] = new.addr.to_string().into();
    program.configure(&config.to_string(), &folder.1).await;
    program.says("configuration reloaded").await;
    // It may be read or not: nobody listens to it any more.
    let _ = watch.write_all(rest.as_bytes()).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(known.call().await.message_id, "m1");
    soon("a call to the receiver of the new list", submit_until_called(&program, &mut listed)).await;
    let (query, _lines) = new.watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert!(stray.nothing_called());
}
