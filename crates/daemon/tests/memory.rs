//! Memory of a process whose clients write slowly.

mod common;

use common::DEADLINE_MS;
use common::fixture::Site;
use common::program::Program;
use rudderspindle_testkit::scripted_peers::raw_submission;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The memory limit of the configuration, in MB.
const MEMORY_MB: u64 = 32;
/// The clients' bodies together have a fifth of the memory limit's bytes at most.
const CLIENTS: usize = 200;
const BODY_LEN: usize = 16_000;
/// Length of the pieces in which a body is written, in bytes.
const PIECE_LEN: usize = 400;

/// Connects a client that has written the head of a submission.
async fn connect(program: &Program, number: usize) -> TcpStream {
    let length = format!("Content-Length: {BODY_LEN}");
    program.raw(&raw_submission(&format!("m{number}"), &length, "")).await
}

/// Peak resident memory of a process, in kB.
fn peak_kb(program: &Program) -> u64 {
    let pid = program.child.id().expect("it runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    line.split_whitespace().next().and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against a process that is killed for its memory: each piece of a body kept a whole read buffer in memory, so that
/// bodies in small pieces took twenty times their length.
#[tokio::test]
async fn bodies_that_arrive_in_small_pieces_take_no_more_than_the_memory_limit() {
    let mut site = Site::new(&[], DEADLINE_MS).await;
    site.config["limits"]["sockets"] = json!(1_024);
    site.config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let program = site.start().await;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        clients.push(connect(&program, number).await);
    }
    // All bodies stay one piece short.
    for _ in 1..BODY_LEN / PIECE_LEN {
        for client in &mut clients {
            let _ = client.write_all(&[b'x'; PIECE_LEN]).await;
        }
        // The process has read the pieces once it responds to a request that it received after them.
        assert_eq!(program.readiness().await, 200);
    }
    let peak_kb = peak_kb(&program);
    assert!(peak_kb < MEMORY_MB * 1_000, "peak of {peak_kb} kB");
}
