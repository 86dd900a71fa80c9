//! Time until a start is ready with a full journal, while discovery is down.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::folder::persistent_folder;
use common::program::Program;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, Store};
use rudderspindle_testkit::scripted_peers::{config, member};
use tokio::net::TcpListener;

/// Size of the journal: quadratic work over its messages would exceed the time limit of a start.
const DISK_MB: u64 = 80;

/// Fills the journal with messages; returns their number.
fn fill(state: &std::path::Path, body: usize) -> usize {
    let mut store = Store::open(state, DISK_MB * 1_000_000).expect("a journal");
    for n in 0.. {
        let message = Message {
            message_id: format!("m{n}").into(),
            class: "safe".into(),
            tenant: "acme".into(),
            destination: 7,
            idempotency_key: None,
            deadline: UnixMillis::now() + 300_000,
            body: Bytes::from(vec![b'x'; body]),
            attempts: 0,
            possibly_executed: None,
            in_flight: None,
        };
        if !store.has_space_for(message.reserved_bytes()) {
            return n;
        }
        store.accept(message);
        store.commit().expect("written");
    }
    unreachable!("the loop returns")
}

/// A program that has answered `/-/ready` with 200, and how long its start took.
struct ReadyProgram {
    program: Program,
    startup: Duration,
}

async fn start_until_ready(discovery: std::net::SocketAddr, state: &std::path::Path) -> ReadyProgram {
    let receiver: std::net::SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let mut config = config(discovery, &[member("r1", receiver, 7, "SERVING")], 300_000.0);
    config["limits"]["disk_mb"] = DISK_MB.into();
    let begun = Instant::now();
    let program = Program::start(&config, state).await;
    assert_eq!(program.readiness().await, 200);
    ReadyProgram { startup: begun.elapsed(), program }
}

#[tokio::test]
async fn a_full_journal_and_a_silent_or_refusing_discovery_do_not_keep_a_start_from_being_ready() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refuses = refusing.local_addr().expect("an address");
    drop(refusing);
    for body in [100, 60_000] {
        for (name, discovery) in [("silent", silent.local_addr().expect("an address")), ("refusing", refuses)]
        {
            let folder = persistent_folder();
            let pending = fill(&folder.state, body);
            // The second start recovers what the first one has left.
            for start in ["first", "second"] {
                let ReadyProgram { program, startup } = start_until_ready(discovery, &folder.state).await;
                println!(
                    "{pending} messages of {body} bytes, discovery {name}, {start} start: ready after {startup:?}"
                );
                assert!(startup < Duration::from_secs(10), "{startup:?}");
                program.kill().await;
            }
        }
    }
}
