//! An upgrade: a new process beside the running one, with the same folder and listening socket.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use serde_json::Value;
use tokio::io::AsyncWriteExt;

/// What both processes of a sender have in common.
struct Site {
    platform: FakePlatform,
    receiver: Receiver,
    listener: socket2::Socket,
    folder: Folder,
    config: Value,
}

impl Site {
    async fn new(acts: &[Act], deadline: f64) -> Self {
        let (platform, receiver, config) = start_peers(acts, deadline).await;
        Self { platform, receiver, listener: inherited_listener(), folder: lasting(), config }
    }

    async fn start(&self) -> Program {
        let program = Program::start_with_listener(&self.listener, &self.config, &self.folder.1).await;
        let addr: SocketAddr = self.listener.local_addr().expect("an address").as_socket().expect("TCP");
        assert_eq!(program.addr, addr);
        program
    }
}

#[tokio::test]
async fn an_upgrade_is_invisible_to_clients_and_the_new_process_takes_over_pending_messages() {
    let mut site = Site::new(&[Act::Hang, Act::Hang], DEADLINE_MS).await;
    let mut old = site.start().await;
    for (class, message_id) in [("safe", "m1"), ("once", "m2")] {
        assert_eq!(old.hand_in(class, message_id, text()).await.status(), 202);
        assert_eq!(site.receiver.call().await.message_id, message_id);
    }
    // One client has connected before the new process came, and one has begun to speak.
    let mut fresh = old.raw(b"").await;
    let whole = raw_submission("m4", "Content-Length: 4", "text");
    let mut slow = old.raw(&whole[..40]).await;
    // Accepted messages belong to the old process.
    assert_eq!(old.hand_in("safe", "m3", text()).await.status(), 202);
    assert_eq!(site.receiver.call().await.message_id, "m3");
    let mut new = site.start().await;
    old.terminate().await;
    old.says("stopping").await;
    for (stream, bytes, message_id) in [
        (&mut slow, &whole[40..], "m4"),
        (&mut fresh, &raw_submission("m5", "Content-Length: 4", "text")[..], "m5"),
    ] {
        stream.write_all(bytes).await.expect("it is open");
        assert_eq!(status(stream).await, Some(202), "{message_id}");
        assert_eq!(site.receiver.call().await.message_id, message_id);
    }
    assert!(old.exit().await.success());
    new.says("journal taken over messages=2 ").await;
    // Both attempts may have run: the one that may be repeated is, the other one fails, once.
    assert_eq!(site.receiver.call().await.message_id, "m1");
    assert_eq!(notifications(&mut site.platform, 1).await, [undeliverable("m2")]);
    assert_eq!(new.hand_in("safe", "m6", text()).await.status(), 202);
    assert_eq!(site.receiver.call().await.message_id, "m6");
    // The next version finds the one that is the owner now.
    let mut newest = site.start().await;
    new.says("successor connected").await;
    new.terminate().await;
    assert!(new.exit().await.success());
    newest.says("journal taken over messages=0 notifications=0").await;
    assert!(site.receiver.nothing_called());
}

/// The old process is killed while both serve; nothing announces that to the new one.
#[tokio::test]
async fn a_kill_of_the_old_process_passes_its_pending_messages_to_the_new_one() {
    let mut site = Site::new(&[Act::Hang], DEADLINE_MS).await;
    let old = site.start().await;
    assert_eq!(old.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(site.receiver.call().await.message_id, "m1");
    let mut new = site.start().await;
    old.kill().await;
    new.says("journal taken over messages=1 ").await;
    assert_eq!(site.receiver.call().await.message_id, "m1");
}

#[tokio::test]
async fn a_retry_after_received_by_either_process_binds_both() {
    // Received by the old process before the new one has started.
    let wait = Act::Say(429, Some(("x-backoff-ms", "1500")));
    let mut site = Site::new(&[wait], DEADLINE_MS).await;
    let old = site.start().await;
    assert_eq!(old.hand_in("safe", "m1", text()).await.status(), 202);
    site.receiver.call().await;
    let received_at = Instant::now();
    let mut new = site.start().await;
    old.terminate().await;
    assert_eq!(new.hand_in("safe", "m2", text()).await.status(), 202);
    for _ in 0..2 {
        let call = site.receiver.call().await;
        let after = call.at.duration_since(received_at);
        assert!(after > Duration::from_millis(1_450), "{} came after {after:?}", call.message_id);
    }
    // Received by the new process while the old one still has a message: it waits in the old one, or is taken over.
    new.says("journal taken over").await;
    let mut newest = site.start().await;
    site.receiver.then(&[wait]);
    // Both accept: one of them receives the Retry-After, and the other one must apply it.
    assert_eq!(new.hand_in("safe", "m3", text()).await.status(), 202);
    site.receiver.call().await;
    let received_at = Instant::now();
    for n in 0..6 {
        assert_eq!(newest.hand_in("safe", &format!("n{n}"), text()).await.status(), 202);
    }
    new.terminate().await;
    newest.says("journal taken over").await;
    for _ in 0..7 {
        let call = site.receiver.call().await;
        let after = call.at.duration_since(received_at);
        // The Retry-After is passed between two processes: calls that cross it are let through, as the protocol
        // specifies.
        let crossed = after < Duration::from_millis(100);
        assert!(crossed || after > Duration::from_millis(1_450), "{} came after {after:?}", call.message_id);
    }
}

/// A listener that cannot be used is one clear error.
#[tokio::test]
async fn a_descriptor_that_is_not_a_listener_ends_the_start() {
    let site = Site::new(&[], DEADLINE_MS).await;
    for (number, says) in [
        ("x", "RELAY_ACCEPT_FD is \"x\""),
        ("2", "RELAY_ACCEPT_FD is \"2\""),
        ("900", "no listening TCP socket"),
    ] {
        std::fs::write(site.folder.1.with_extension("json"), site.config.to_string()).expect("writable");
        let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderspindle"))
            .env("RELAY_CONFIG", site.folder.1.with_extension("json"))
            .env("RELAY_STATE", &site.folder.1)
            .env("RELAY_ACCEPT_FD", number)
            .output()
            .await
            .expect("it starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.contains(says), "{log}");
    }
}
