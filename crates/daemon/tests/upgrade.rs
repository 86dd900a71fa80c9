//! An upgrade: a new process beside the running one, with the same folder and listening socket.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::fixture::Site;
use common::program::Program;
use common::{DEADLINE_MS, body, inherited_listener, next_notifications};
use rudderspindle_testkit::scripted_peers::{
    Notification, Receiver, ScriptedResponse, list, member, raw_submission, read_status,
};
use tokio::io::AsyncWriteExt;

/// What both processes of a sender share.
struct SharedListener {
    site: Site,
    listener: socket2::Socket,
}

impl SharedListener {
    async fn new(responses: &[ScriptedResponse]) -> Self {
        Self { site: Site::new(responses, DEADLINE_MS).await, listener: inherited_listener() }
    }

    async fn start(&self) -> Program {
        let Site { config, folder, .. } = &self.site;
        let program = Program::start_with_listener(&self.listener, config, &folder.state).await;
        let addr: SocketAddr = self.listener.local_addr().expect("an address").as_socket().expect("TCP");
        assert_eq!(program.addr, addr);
        program
    }
}

#[tokio::test]
async fn an_upgrade_is_invisible_to_clients_and_the_new_process_takes_over_pending_messages() {
    let mut shared = SharedListener::new(&[ScriptedResponse::NoResponse, ScriptedResponse::NoResponse]).await;
    let mut old = shared.start().await;
    for (class, message_id) in [("safe", "m1"), ("once", "m2")] {
        assert_eq!(old.submit(class, message_id, body()).await.status(), 202);
        assert_eq!(shared.site.receiver.next_call().await.message_id, message_id);
    }
    // One client has connected before the new process starts, and one has sent half of a request.
    let mut fresh = old.raw(b"").await;
    let whole = raw_submission("m4", "Content-Length: 4", "text");
    let mut slow = old.raw(&whole[..40]).await;
    // Accepted messages belong to the old process.
    assert_eq!(old.submit("safe", "m3", body()).await.status(), 202);
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m3");
    let mut new = shared.start().await;
    old.terminate().await;
    old.wait_for_log_line("stopping").await;
    for (stream, bytes, message_id) in [
        (&mut slow, &whole[40..], "m4"),
        (&mut fresh, &raw_submission("m5", "Content-Length: 4", "text")[..], "m5"),
    ] {
        stream.write_all(bytes).await.expect("it is open");
        assert_eq!(read_status(stream).await, Some(202), "{message_id}");
        assert_eq!(shared.site.receiver.next_call().await.message_id, message_id);
    }
    assert!(old.exit().await.success());
    new.wait_for_log_line("journal taken over messages=2 ").await;
    // Both attempts may have run: the one that may be repeated is, the other one fails, once.
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m1");
    assert_eq!(next_notifications(&mut shared.site.platform, 1).await, [Notification::undeliverable("m2")]);
    assert_eq!(new.submit("safe", "m6", body()).await.status(), 202);
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m6");
    // The next process connects to the current owner.
    let mut newest = shared.start().await;
    new.wait_for_log_line("successor connected").await;
    new.terminate().await;
    assert!(new.exit().await.success());
    newest.wait_for_log_line("journal taken over messages=0 notifications=0").await;
    assert!(shared.site.receiver.has_no_calls());
}

/// Guards against a message that is sent twice at once: the new process accepted an id that the old one had in flight.
#[tokio::test]
async fn an_id_in_flight_at_the_old_process_is_not_accepted_by_the_new_one() {
    let mut shared = SharedListener::new(&[ScriptedResponse::NoResponse]).await;
    let mut old = shared.start().await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m1");
    let new = shared.start().await;
    old.terminate().await;
    old.wait_for_log_line("stopping").await;
    assert_eq!(new.submit("safe", "m1", body()).await.status(), 503);
    assert_eq!(new.submit("safe", "m2", body()).await.status(), 202);
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m2");
    assert!(shared.site.receiver.has_no_calls());
}

/// Guards against a message that is sent to a receiver that is gone, whose address another one may have: the new process used
/// the list of its configuration while discovery was silent.
#[tokio::test]
async fn a_new_process_has_the_endpoint_list_of_the_old_one_while_discovery_is_silent() {
    let mut shared = SharedListener::new(&[]).await;
    let mut second = Receiver::start(&[]).await;
    // The configuration lists r1 only.
    let replaced = [member("r2", second.addr, 7, "SERVING")];
    shared.site.platform.set_list(list(8, true, &replaced));
    let mut old = shared.start().await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(second.next_call().await.message_id, "m1");
    // Connections to this address are neither accepted nor rejected.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    shared.site.config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    let new = shared.start().await;
    old.terminate().await;
    assert!(old.exit().await.success());
    assert_eq!(new.submit("safe", "m2", body()).await.status(), 202);
    assert_eq!(second.next_call().await.message_id, "m2");
    assert!(shared.site.receiver.has_no_calls());
}

/// The old process is killed while both serve; the new one gets no announcement of that.
#[tokio::test]
async fn a_kill_of_the_old_process_passes_its_pending_messages_to_the_new_one() {
    let mut shared = SharedListener::new(&[ScriptedResponse::NoResponse]).await;
    let old = shared.start().await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m1");
    let mut new = shared.start().await;
    old.kill().await;
    new.wait_for_log_line("journal taken over messages=1 ").await;
    assert_eq!(shared.site.receiver.next_call().await.message_id, "m1");
}

#[tokio::test]
async fn a_retry_after_received_by_either_process_binds_both() {
    // Received by the old process before the new one has started.
    let wait = ScriptedResponse::StatusWithHeader(429, "x-backoff-ms", "1500");
    let mut shared = SharedListener::new(&[wait]).await;
    let old = shared.start().await;
    assert_eq!(old.submit("safe", "m1", body()).await.status(), 202);
    shared.site.receiver.next_call().await;
    let received_at = Instant::now();
    let mut new = shared.start().await;
    old.terminate().await;
    assert_eq!(new.submit("safe", "m2", body()).await.status(), 202);
    for _ in 0..2 {
        let call = shared.site.receiver.next_call().await;
        let after = call.at.duration_since(received_at);
        assert!(after > Duration::from_millis(1_450), "{} came after {after:?}", call.message_id);
    }
    // Received by the new process while the old one has a pending message, which backs off there or is taken over.
    new.wait_for_log_line("journal taken over").await;
    let mut newest = shared.start().await;
    shared.site.receiver.then(&[wait]);
    // Both accept: one of them receives the Retry-After, and the other one must apply it.
    assert_eq!(new.submit("safe", "m3", body()).await.status(), 202);
    shared.site.receiver.next_call().await;
    let received_at = Instant::now();
    for n in 0..6 {
        assert_eq!(newest.submit("safe", &format!("n{n}"), body()).await.status(), 202);
    }
    new.terminate().await;
    newest.wait_for_log_line("journal taken over").await;
    for _ in 0..7 {
        let call = shared.site.receiver.next_call().await;
        let after = call.at.duration_since(received_at);
        // Calls that cross the announcement between the processes are allowed, as the protocol specifies.
        let crossed = after < Duration::from_millis(100);
        assert!(crossed || after > Duration::from_millis(1_450), "{} came after {after:?}", call.message_id);
    }
}

/// An unusable descriptor ends the start with one error.
#[tokio::test]
async fn a_descriptor_that_is_not_a_listener_ends_the_start() {
    let shared = SharedListener::new(&[]).await;
    for (number, expected) in [
        ("x", "RELAY_ACCEPT_FD is \"x\""),
        ("2", "RELAY_ACCEPT_FD is \"2\""),
        ("900", "no listening TCP socket"),
    ] {
        std::fs::write(shared.site.folder.state.with_extension("json"), shared.site.config.to_string())
            .expect("writable");
        let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderspindle"))
            .env("RELAY_CONFIG", shared.site.folder.state.with_extension("json"))
            .env("RELAY_STATE", &shared.site.folder.state)
            .env("RELAY_ACCEPT_FD", number)
            .output()
            .await
            .expect("it starts");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && log.contains(expected), "{log}");
    }
}
