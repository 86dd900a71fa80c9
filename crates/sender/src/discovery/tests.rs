//! A watch of a discovery server whose responses are scripted byte by byte.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use self::scripted::{
    ScriptedDiscovery, WATCH_HEAD, chunk, full_response, list_json, run_local, start_agent_watch,
    wait_until_closed, write,
};
use super::client::{STARTUP_FETCH_TIMEOUT, fetch};

mod idle_watch;
mod scripted;

// ---- Lists in pieces -------------------------------------------------------------------------------------

/// Each line of an indented list arrives in a separate frame, on a watch that stays open.
#[tokio::test]
async fn indented_lists_in_many_frames_are_received() {
    run_local(async {
        let discovery = ScriptedDiscovery::start().await;
        let mut watch = start_agent_watch(discovery.addr, Some(41));
        let (from, mut stream) = discovery.accept_watch().await;
        assert_eq!(from, 41);
        write(&mut stream, WATCH_HEAD).await;
        for revision in 42..45 {
            let entry = json!({"id": "s-1", "host_port": "10.1.0.18:9000", "cell": 3, "phase": "SERVING"});
            let list = json!({"revision": revision, "complete": false, "members": [entry]});
            let text = serde_json::to_string_pretty(&list).expect("JSON") + "\n";
            assert!(text.lines().count() > 5);
            for line in text.split_inclusive('\n') {
                write(&mut stream, chunk(line)).await;
                tokio::task::yield_now().await;
            }
            assert_eq!(watch.next_revision().await, revision);
            write(&mut stream, chunk("\n")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn a_watch_cut_off_within_a_list_resumes_after_the_last_list() {
    run_local(async {
        let discovery = ScriptedDiscovery::start().await;
        let mut watch = start_agent_watch(discovery.addr, Some(41));
        let (_, mut stream) = discovery.accept_watch().await;
        let next = list_json(43);
        write(
            &mut stream,
            WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n")) + &chunk(&next[..next.len() - 1]),
        )
        .await;
        assert_eq!(watch.next_revision().await, 42);
        drop(stream);
        let (from, mut stream) = discovery.accept_watch().await;
        assert_eq!(from, 42);
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&next)).await;
        assert_eq!(watch.next_revision().await, 43);
    })
    .await;
}

#[tokio::test]
async fn after_a_malformed_list_the_full_list_is_requested() {
    run_local(async {
        for malformed in ["{\"revision\": 43}\n", "noise\n", "{\"revision\": 43, \"comp\n"] {
            let discovery = ScriptedDiscovery::start().await;
            let mut watch = start_agent_watch(discovery.addr, Some(41));
            let (_, mut stream) = discovery.accept_watch().await;
            write(&mut stream, WATCH_HEAD.to_owned() + &chunk(malformed)).await;
            let mut stream = discovery.accept_full_list_request().await;
            write(&mut stream, full_response(&list_json(44))).await;
            assert_eq!(watch.next_revision().await, 44, "{malformed:?}");
            assert_eq!(discovery.accept_watch().await.0, 44, "{malformed:?}");
        }
    })
    .await;
}

// ---- Changes of the address ------------------------------------------------------------------------------

/// The revisions of two addresses are unrelated, so the revisions of the new address may be lower.
#[tokio::test]
async fn a_new_address_may_send_a_full_list_with_a_lower_revision() {
    run_local(async {
        let (old, new) = (ScriptedDiscovery::start().await, ScriptedDiscovery::start().await);
        let mut watch = start_agent_watch(old.addr, Some(41));
        let (_, mut stream) = old.accept_watch().await;
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(42) + "\n"))).await;
        assert_eq!(watch.next_revision().await, 42);
        watch.address_sender.send_replace(new.addr);
        let mut request = new.accept_full_list_request().await;
        wait_until_closed(&mut stream).await;
        write(&mut request, full_response(&list_json(3))).await;
        assert_eq!(watch.next_revision().await, 3);
        let (from, mut stream) = new.accept_watch().await;
        assert_eq!(from, 3);
        write(&mut stream, WATCH_HEAD.to_owned() + &chunk(&(list_json(4) + "\n"))).await;
        assert_eq!(watch.next_revision().await, 4);
        drop(stream);
        assert_eq!(new.accept_watch().await.0, 4);
    })
    .await;
}

/// The address changes at each step of opening a watch, and changes once more before the new address has responded.
#[tokio::test]
async fn a_change_of_address_cancels_a_watch_that_is_being_opened() {
    run_local(async {
        for step in 0..4 {
            let (old, intermediate, new) = (
                ScriptedDiscovery::start().await,
                ScriptedDiscovery::start().await,
                ScriptedDiscovery::start().await,
            );
            let mut watch = start_agent_watch(old.addr, (step > 0).then_some(41));
            let mut stream =
                if step > 0 { old.accept_watch().await.1 } else { old.accept_full_list_request().await };
            // The old address has sent nothing, a response head, or a part of a list.
            let partial_list = &list_json(99)[..20];
            match step {
                2 => write(&mut stream, WATCH_HEAD).await,
                3 => write(&mut stream, WATCH_HEAD.to_owned() + &chunk(partial_list)).await,
                _ => {}
            }
            watch.address_sender.send_replace(intermediate.addr);
            let mut first = intermediate.accept_full_list_request().await;
            wait_until_closed(&mut stream).await;
            write(&mut first, "HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n{\"revision\":").await;
            watch.address_sender.send_replace(new.addr);
            let mut second = new.accept_full_list_request().await;
            wait_until_closed(&mut first).await;
            write(&mut second, full_response(&list_json(5))).await;
            assert_eq!(watch.next_revision().await, 5, "{step}");
            assert_eq!(new.accept_watch().await.0, 5, "{step}");
        }
    })
    .await;
}

// ---- Starts ----------------------------------------------------------------------------------------------

/// The process starts with the configured list if discovery has not responded within [`STARTUP_FETCH_TIMEOUT`].
#[tokio::test]
async fn a_start_is_not_delayed_by_a_list_that_arrives_slowly_or_never() {
    let discovery = ScriptedDiscovery::start().await;
    for head in ["", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"] {
        let since = Instant::now();
        let slow_response = async {
            let mut stream = discovery.accept_full_list_request().await;
            write(&mut stream, head).await;
            // Bytes are sent until the client closes the connection.
            while stream.write_all(b" ").await.is_ok() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let (fetched, ()) = run_local(async { tokio::join!(fetch(discovery.addr), slow_response) }).await;
        assert!(fetched.is_none());
        assert!(since.elapsed() < 3 * STARTUP_FETCH_TIMEOUT, "{:?}", since.elapsed());
    }
}
