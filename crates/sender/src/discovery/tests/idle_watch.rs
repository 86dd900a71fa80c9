//! An idle watch is closed and opened again; one that receives heartbeats stays open.

use std::time::{Duration, Instant};

use rudderspindle_policy::interface::Discovery;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use super::scripted::{
    ScriptedDiscovery, WATCH_HEAD, chunk, list_json, local, start_agent_watch, start_watch, write,
};

/// Changes that an idle watch misses are received within this time.
const IN_EFFECT_WITHIN: Duration = Duration::from_secs(6);

/// How a watch becomes idle.
#[derive(Clone, Copy, Debug)]
enum Idle {
    /// It receives no response.
    WithoutResponse,
    AfterHead,
    AfterHeartbeat,
    WithinALine,
    /// Single bytes arrive, and the list never ends.
    Trickling,
    /// Empty lines arrive within a list that never ends.
    EmptyLinesWithinList,
}

/// Checks that an idle watch is opened again and that missed changes are received in time. Returns when they were,
/// from the start of the idle watch on.
async fn time_to_missed_change(idle: Idle, discovery_mode: Discovery) -> Duration {
    let discovery = ScriptedDiscovery::start().await;
    let mut running = start_watch(discovery_mode, discovery.addr, Some(41));
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
    let next = async {
        let (from, mut stream) = discovery.accept_watch().await;
        assert_eq!(from, 41, "{idle:?}");
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(43) + "\n"))).await;
        assert_eq!(running.next_revision().await, 43, "{idle:?}");
    };
    tokio::select! {
        () = trickle => {}
        () = next => {}
    }
    let after = since.elapsed();
    assert!(after < IN_EFFECT_WITHIN, "{idle:?}, {discovery_mode:?}: {after:?}");
    after
}

/// The watch is opened again and missed changes are received in time, in each of these cases.
#[tokio::test]
async fn an_idle_watch_is_opened_again_and_missed_changes_are_received_in_time() {
    let on_request = Discovery::OnRequest { ask_within: 10_000.0 };
    local(async {
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
        // An agent responds at once, or is polled again.
        assert!(without_response < Duration::from_secs(1), "{without_response:?}");
    })
    .await;
}

/// Without changes a heartbeat arrives every two seconds.
#[tokio::test]
async fn a_watch_with_heartbeats_stays_open() {
    local(async {
        let discovery = ScriptedDiscovery::start().await;
        let mut running = start_agent_watch(discovery.addr, Some(41));
        let (_, mut stream) = discovery.accept_watch().await;
        write(&mut stream, WATCH_HEAD).await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            write(&mut stream, chunk("\n")).await;
        }
        write(&mut stream, chunk(&list_json(42))).await;
        assert_eq!(running.next_revision().await, 42);
        assert!(timeout(Duration::ZERO, discovery.listener.accept()).await.is_err(), "it was opened again");
    })
    .await;
}

/// An agent is polled at a constant rate, as its list is in effect at once.
#[tokio::test]
async fn an_agent_that_was_unresponsive_for_long_is_polled_as_often_as_at_first() {
    local(async {
        let agent = ScriptedDiscovery::start().await;
        let mut running = start_agent_watch(agent.addr, Some(41));
        let mut held = Vec::new();
        for _ in 0..8 {
            held.push(agent.accept_watch().await);
        }
        let since = Instant::now();
        let (_, mut stream) = agent.accept_watch().await;
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n"))).await;
        assert_eq!(running.next_revision().await, 42);
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    })
    .await;
}

/// An agent that refuses connections is polled with a constant delay.
#[tokio::test]
async fn an_agent_that_refused_connections_is_polled_soon_when_it_is_back() {
    local(async {
        let agent = ScriptedDiscovery::start().await;
        let addr = agent.addr;
        drop(agent.listener);
        let mut running = start_agent_watch(addr, Some(41));
        sleep(Duration::from_secs(2)).await;
        let agent = ScriptedDiscovery {
            listener: tokio::net::TcpListener::bind(addr).await.expect("its port"),
            addr,
        };
        let since = Instant::now();
        let (_, mut stream) = agent.accept_watch().await;
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n"))).await;
        assert_eq!(running.next_revision().await, 42);
        assert!(since.elapsed() < Duration::from_millis(500), "{:?}", since.elapsed());
    })
    .await;
}
