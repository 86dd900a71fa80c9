//! Time until a start is ready with a full journal, while discovery is down.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::*;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{Message, Store};
use tokio::net::TcpListener;

/// So much that what is done for each pair of messages would take longer than a start may.
const DISK_MB: u64 = 80;

/// As many messages as the journal takes on, with little and with much in them.
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
    unreachable!("it has no end")
}

/// Until the program answers `/-/ready` with 200.
async fn time_to_ready(discovery: std::net::SocketAddr, state: &std::path::Path) -> (Duration, Program) {
    let receiver: std::net::SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let mut config = config(discovery, &[member("r1", receiver, 7, "SERVING")], 300_000.0);
    config["limits"]["disk_mb"] = DISK_MB.into();
    let begun = Instant::now();
    let program = Program::start(&config, state).await;
    assert_eq!(program.readiness().await, 200);
    (begun.elapsed(), program)
}

/// The bound is the standing test's; the figures are printed.
#[tokio::test]
async fn a_full_journal_and_a_silent_or_refusing_discovery_do_not_keep_a_start_from_being_ready() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refuses = refusing.local_addr().expect("an address");
    drop(refusing);
    for body in [100, 60_000] {
        for (name, discovery) in [("silent", silent.local_addr().expect("an address")), ("refusing", refuses)]
        {
            let folder = lasting();
            let held = fill(&folder.1, body);
            // A second start takes up what the first one has left.
            for start in ["first", "second"] {
                let (took, program) = time_to_ready(discovery, &folder.1).await;
                println!(
                    "{held} messages of {body} bytes, discovery {name}, {start} start: ready after {took:?}"
                );
                assert!(took < Duration::from_secs(10), "{took:?}");
                program.kill().await;
            }
        }
    }
}
