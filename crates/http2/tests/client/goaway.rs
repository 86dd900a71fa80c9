//! GOAWAY frames.

use rudderspindle_http2::outcome::{DeliveryOutcome, StreamOutcome};
use rudderspindle_http2::pool::PoolLimits;

use crate::harness::{
    ENHANCE_YOUR_CALM, INTERNAL_ERROR, LONG, NO_ERROR, complete, outcome, response, run, start,
};

/// The last stream identifier of a GOAWAY that only announces a shutdown (RFC 9113, 6.8).
const ANY_STREAM: u32 = 0x7fff_ffff;
/// Frame type (RFC 9113, 6.8).
const GOAWAY: u8 = 7;

/// The way in which the gateway shuts a connection down.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    error_code: u32,
    /// Whether a GOAWAY without a stream identifier precedes.
    announced: bool,
    /// Whether the connection is closed instead of finishing the remaining streams.
    cut: bool,
}

/// Streams 1, 3 and 5 are active, and the GOAWAY names 3. With and without an error code, immediate or announced, finished
/// or aborted: the messages of 1 and 3 were possibly executed, and that of 5 was not.
#[tokio::test]
async fn a_goaway_ends_only_the_streams_above_its_last_identifier_as_not_executed() {
    run(async {
        for shutdown in [
            Shutdown { error_code: NO_ERROR, announced: false, cut: false },
            Shutdown { error_code: NO_ERROR, announced: true, cut: false },
            Shutdown { error_code: ENHANCE_YOUR_CALM, announced: false, cut: true },
            Shutdown { error_code: INTERNAL_ERROR, announced: true, cut: true },
            Shutdown { error_code: NO_ERROR, announced: false, cut: true },
        ] {
            check_shutdown(shutdown).await;
        }
    })
    .await;
}

async fn check_shutdown(shutdown: Shutdown) {
    let harness = start(PoolLimits::default()).await;
    let mut calls = vec![harness.call(LONG)];
    let mut gateway = harness.accept().await;
    assert_eq!(gateway.request().await, 1);
    for stream in [3, 5] {
        calls.push(harness.call(LONG));
        assert_eq!(gateway.request().await, stream);
    }
    if shutdown.announced {
        gateway.go_away(ANY_STREAM, NO_ERROR).await;
    }
    gateway.go_away(3, shutdown.error_code).await;
    let above = calls.pop().expect("three calls");
    assert_eq!(outcome(above).await, complete(StreamOutcome::GoAway), "{shutdown:?}");
    assert_eq!(StreamOutcome::GoAway.delivery(true), DeliveryOutcome::NotExecuted);
    // A new call opens a new connection, while the old streams continue.
    let _second = harness.check_call_on_new_connection().await;
    if shutdown.cut {
        drop(gateway);
    } else {
        gateway.head(1, 200, None, true).await;
        gateway.head(3, 500, None, true).await;
    }
    let outcomes = [outcome(calls.remove(0)).await, outcome(calls.remove(0)).await];
    let expected =
        if shutdown.cut { [StreamOutcome::ConnectionLost; 2] } else { [response(200), response(500)] };
    assert_eq!(outcomes.map(|outcome| outcome.stream), expected, "{shutdown:?}");
    assert_eq!(harness.connects(), 2);
}

/// A GOAWAY that only announces a shutdown ends no stream, but no new one is opened on its connection.
#[tokio::test]
async fn after_an_announced_shutdown_new_calls_use_another_connection_and_active_ones_finish() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let active = harness.call(LONG);
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        gateway.go_away(ANY_STREAM, NO_ERROR).await;
        // Once the PING is answered, the client has read the GOAWAY.
        gateway.ping().await;
        let _second = harness.check_call_on_new_connection().await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(active).await, complete(response(200)));
        // Without active streams the connection is closed.
        assert_eq!(gateway.next().await.map(|frame| frame.kind), Some(GOAWAY));
        assert_eq!(gateway.next().await, None);
    })
    .await;
}
