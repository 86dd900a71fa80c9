//! Clients that use every descriptor they can get: calls and notifications still have descriptors.

mod common;

use std::time::{Duration, Instant};

use common::fixture::{Fixture, set_up};
use common::program::Program;
use common::{DEADLINE_MS, body};
use rudderspindle_testkit::scripted_peers::{Notification, ScriptedResponse};
use tokio::net::TcpStream;
use tokio::process::Command;

/// Limits the open descriptors of the program.
async fn limit_descriptors(program: &Program, descriptors: usize) {
    let pid = program.child.id().expect("it runs").to_string();
    let limit = format!("--nofile={descriptors}");
    let set = Command::new("prlimit").args(["--pid", &pid, &limit]).status().await.expect("prlimit runs");
    assert!(set.success());
}

async fn connect_idle(program: &Program, clients: usize) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    while idle.len() < clients {
        idle.push(program.raw(b"").await);
    }
    idle
}

#[tokio::test]
async fn calls_and_notifications_have_descriptors_while_clients_idle_on_all_of_theirs() {
    let Fixture { mut platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::Disconnect], DEADLINE_MS).await;
    // The value of `limits.sockets`.
    limit_descriptors(&program, 128).await;
    let _idle = connect_idle(&program, 200).await;
    assert_eq!(program.submit("once", "m1", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m1");
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m1")]);
}

#[tokio::test]
async fn without_a_descriptor_for_a_new_client_idle_connections_are_closed_with_one_log_line() {
    let Fixture { platform: _platform, mut receiver, mut program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    assert_eq!(program.submit("safe", "m0", body()).await.status(), 202);
    // The connection of the call stays in the pool.
    assert_eq!(receiver.next_call().await.message_id, "m0");
    let open = std::fs::read_dir(format!("/proc/{}/fd", program.child.id().expect("it runs")));
    limit_descriptors(&program, open.expect("a process").count() + 10).await;
    let _idle = connect_idle(&program, 30).await;
    let since = Instant::now();
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    // Sooner than the timeout of the idle ones.
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    assert_eq!(receiver.next_call().await.message_id, "m1");
    program.terminate().await;
    let lines = program.rest_of_log().await;
    let logged = lines.iter().filter(|line| line.contains("could not be accepted")).count();
    assert_eq!(logged, 1, "{lines:?}");
}
