//! Clients on every descriptor that they can get: what else the program needs descriptors for goes on.

mod common;

use std::time::{Duration, Instant};

use common::*;
use tokio::net::TcpStream;
use tokio::process::Command;

/// From here on the program may have so many descriptors open.
async fn limit(program: &Program, descriptors: usize) {
    let pid = program.child.id().expect("it runs").to_string();
    let limit = format!("--nofile={descriptors}");
    let set = Command::new("prlimit").args(["--pid", &pid, &limit]).status().await.expect("prlimit runs");
    assert!(set.success());
}

async fn idle(program: &Program, clients: usize) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    while idle.len() < clients {
        idle.push(program.raw(b"").await);
    }
    idle
}

#[tokio::test]
async fn calls_and_notifications_have_descriptors_while_clients_idle_on_all_of_theirs() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Break], DEADLINE_MS).await;
    // As many as `limits.sockets` says, and not one more.
    limit(&program, 128).await;
    let _idle = idle(&program, 200).await;
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
}

#[tokio::test]
async fn without_a_descriptor_for_a_new_client_idle_ones_are_closed_and_the_log_says_so_once() {
    let (_platform, mut receiver, mut program, _folder, _) = set_up(&[], DEADLINE_MS).await;
    assert_eq!(program.hand_in("safe", "m0", text()).await.status(), 202);
    // The call leaves a connection that is kept for the next.
    assert_eq!(receiver.call().await.message_id, "m0");
    let open = std::fs::read_dir(format!("/proc/{}/fd", program.child.id().expect("it runs")));
    limit(&program, open.expect("a process").count() + 10).await;
    let _idle = idle(&program, 30).await;
    let since = Instant::now();
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    // Not only once the idle ones' own time is up.
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    assert_eq!(receiver.call().await.message_id, "m1");
    program.terminate().await;
    let lines = program.rest_of_log().await;
    let said = lines.iter().filter(|line| line.contains("could not be accepted")).count();
    assert_eq!(said, 1, "{lines:?}");
}
