//! An idle watch is closed and opened again; a watch with heartbeats stays open.

use std::time::{Duration, Instant};

use rudderspindle_policy::interface::Discovery;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use super::scripted::{
    ScriptedDiscovery, WATCH_HEAD, chunk, list_json, run_local, start_agent_watch, start_watch, write,
};

/// Maximum time from the start of an idle watch until the changes that the watch misses are received.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);

/// What a watch receives before it becomes idle.
#[derive(Clone, Copy, Debug)]
enum Idle {
    /// The watch receives no response.
    WithoutResponse,
    /// The watch receives the head of the response.
    AfterHead,
    /// The watch receives the head and a heartbeat.
    AfterHeartbeat,
    /// The watch receives the head and a part of a list.
    WithinALine,
    /// The watch keeps receiving single bytes of a list that never ends.
    Trickling,
    /// The watch keeps receiving empty lines within a list that never ends.
    EmptyLinesWithinList,
}

/// Checks that an idle watch is opened again and that missed changes are received in time. Returns the time from the
/// start of the idle watch until they were received.
async fn time_to_missed_change(idle: Idle, discovery_mode: Discovery) -> Duration {
    let discovery = ScriptedDiscovery::start().await;
    let mut watch = start_watch(discovery_mode, discovery.addr, Some(41));
    let (_, mut stream) = discovery.accept_watch().await;
    let since = Instant::now();
    match idle {
        Idle::WithoutResponse => {}
        Idle::AfterHead => write(&mut stream, WATCH_HEAD).await,
        Idle::AfterHeartbeat => write(&mut stream, WATCH_HEAD.to_owned() + &chunk("\n")).await,
        Idle::WithinALine => {
            write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&list_json(42)[..20])).await;
        }
        Idle::Trickling | Idle::EmptyLinesWithinList => {
            write(&mut stream, WATCH_HEAD.to_owned() + &chunk("{\"revision\": 42,")).await;
        }
    }
    let byte = match idle {
        Idle::Trickling => Some(" "),
        Idle::EmptyLinesWithinList => Some("\n"),
        _ => None,
    };
    let trickle = async {
        while let Some(byte) = byte {
            sleep(Duration::from_millis(100)).await;
            if stream.write_all(chunk(byte).as_bytes()).await.is_err() {
                break;
            }
        }
        std::future::pending::<()>().await;
    };
    let reopened = async {
        let (from, mut stream) = discovery.accept_watch().await;
        assert_eq!(from, 41, "{idle:?}");
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(43) + "\n"))).await;
        assert_eq!(watch.next_revision().await, 43, "{idle:?}");
    };
    tokio::select! {
        () = trickle => {}
        () = reopened => {}
    }
    let elapsed = since.elapsed();
    assert!(elapsed < MAX_CHANGE_DELAY, "{idle:?}, {discovery_mode:?}: {elapsed:?}");
    elapsed
}

/// All cases run concurrently, as each takes seconds.
#[tokio::test]
async fn an_idle_watch_is_reopened_and_missed_changes_arrive_in_time() {
    let on_request = Discovery::OnRequest { ask_within: 10_000.0 };
    run_local(async {
        use Idle::{
            AfterHead, AfterHeartbeat, EmptyLinesWithinList, Trickling, WithinALine, WithoutResponse,
        };
        let agent = async |idle| time_to_missed_change(idle, Discovery::Pushed).await;
        let (without_response, ..) = tokio::join!(
            agent(WithoutResponse),
            agent(AfterHead),
            agent(AfterHeartbeat),
            agent(WithinALine),
            agent(Trickling),
            agent(EmptyLinesWithinList),
            time_to_missed_change(WithoutResponse, on_request),
            time_to_missed_change(AfterHead, on_request),
            time_to_missed_change(Trickling, on_request),
        );
        // An agent that does not respond at once is polled again.
        assert!(without_response < Duration::from_secs(1), "{without_response:?}");
    })
    .await;
}

/// While nothing changes, a heartbeat arrives every two seconds.
#[tokio::test]
async fn a_watch_with_heartbeats_stays_open() {
    run_local(async {
        let discovery = ScriptedDiscovery::start().await;
        let mut watch = start_agent_watch(discovery.addr, Some(41));
        let (_, mut stream) = discovery.accept_watch().await;
        write(&mut stream, WATCH_HEAD).await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            write(&mut stream, chunk("\n")).await;
        }
        write(&mut stream, chunk(&list_json(42))).await;
        assert_eq!(watch.next_revision().await, 42);
        assert!(
            timeout(Duration::ZERO, discovery.listener.accept()).await.is_err(),
            "the watch was opened again"
        );
    })
    .await;
}

/// The rate is constant because the list of an agent is in effect at once.
#[tokio::test]
async fn an_unresponsive_agent_is_polled_at_a_constant_rate() {
    run_local(async {
        let agent = ScriptedDiscovery::start().await;
        let mut watch = start_agent_watch(agent.addr, Some(41));
        let mut unanswered = Vec::new();
        for _ in 0..8 {
            unanswered.push(agent.accept_watch().await);
        }
        let since = Instant::now();
        let (_, mut stream) = agent.accept_watch().await;
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n"))).await;
        assert_eq!(watch.next_revision().await, 42);
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    })
    .await;
}

/// An agent that refuses connections is polled with a constant delay.
#[tokio::test]
async fn an_agent_that_refused_connections_is_polled_soon_afterwards() {
    run_local(async {
        let agent = ScriptedDiscovery::start().await;
        let addr = agent.addr;
        drop(agent.listener);
        let mut watch = start_agent_watch(addr, Some(41));
        sleep(Duration::from_secs(2)).await;
        let agent = ScriptedDiscovery {
            listener: tokio::net::TcpListener::bind(addr).await.expect("the same port"),
            addr,
        };
        let since = Instant::now();
        let (_, mut stream) = agent.accept_watch().await;
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n"))).await;
        assert_eq!(watch.next_revision().await, 42);
        assert!(since.elapsed() < Duration::from_millis(500), "{:?}", since.elapsed());
    })
    .await;
}
