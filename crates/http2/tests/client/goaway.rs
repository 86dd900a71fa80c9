//! GOAWAY frames: which streams they end, and where later calls are placed.

use rudderspindle_http2::outcome::{DeliveryOutcome, StreamOutcome};
use rudderspindle_http2::pool::PoolLimits;

use crate::harness::{
    ENHANCE_YOUR_CALM, INTERNAL_ERROR, LONG_TIMEOUT, NO_ERROR, complete, outcome, response, run, start,
};

/// The last stream identifier of a GOAWAY that only announces a shutdown (RFC 9113, 6.8).
const ANY_STREAM: u32 = 0x7fff_ffff;
/// Type of the GOAWAY frame (RFC 9113, 6.8).
const GOAWAY: u8 = 7;

/// How the gateway shuts a connection down.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    error_code: u32,
    /// Whether a GOAWAY with [`ANY_STREAM`] is sent before the one that names the last stream.
    announced: bool,
    /// Whether the connection is closed before the remaining streams finish.
    closes_connection: bool,
}

/// Streams 1, 3 and 5 are active when the gateway sends a GOAWAY whose last stream is 3. The messages on 1 and 3 were
/// possibly executed, and that on 5 was not: with and without an error code, immediately or after an announcement,
/// and whether the streams finish or the connection is closed.
#[tokio::test]
async fn a_goaway_ends_only_the_streams_above_its_last_identifier() {
    run(async {
        for shutdown in [
            Shutdown { error_code: NO_ERROR, announced: false, closes_connection: false },
            Shutdown { error_code: NO_ERROR, announced: true, closes_connection: false },
            Shutdown { error_code: ENHANCE_YOUR_CALM, announced: false, closes_connection: true },
            Shutdown { error_code: INTERNAL_ERROR, announced: true, closes_connection: true },
            Shutdown { error_code: NO_ERROR, announced: false, closes_connection: true },
        ] {
            check_shutdown(shutdown).await;
        }
    })
    .await;
}

async fn check_shutdown(shutdown: Shutdown) {
    let harness = start(PoolLimits::default()).await;
    let mut calls = vec![harness.call(LONG_TIMEOUT)];
    let mut gateway = harness.accept().await;
    assert_eq!(gateway.request().await, 1);
    for stream in [3, 5] {
        calls.push(harness.call(LONG_TIMEOUT));
        assert_eq!(gateway.request().await, stream);
    }
    if shutdown.announced {
        gateway.go_away(ANY_STREAM, NO_ERROR).await;
    }
    gateway.go_away(3, shutdown.error_code).await;
    let call_above_last_stream = calls.pop().expect("three calls");
    assert_eq!(outcome(call_above_last_stream).await, complete(StreamOutcome::GoAway), "{shutdown:?}");
    assert_eq!(StreamOutcome::GoAway.delivery(true), DeliveryOutcome::NotExecuted);
    // A new call opens a new connection while the old streams continue.
    let _second_gateway = harness.check_call_on_new_connection().await;
    if shutdown.closes_connection {
        drop(gateway);
    } else {
        gateway.head(1, 200, None, true).await;
        gateway.head(3, 500, None, true).await;
    }
    let outcomes = [outcome(calls.remove(0)).await, outcome(calls.remove(0)).await];
    let expected = if shutdown.closes_connection {
        [StreamOutcome::ConnectionLost; 2]
    } else {
        [response(200), response(500)]
    };
    assert_eq!(outcomes.map(|outcome| outcome.stream), expected, "{shutdown:?}");
    assert_eq!(harness.connects(), 2);
}

/// A GOAWAY that only announces a shutdown ends no stream, but no new stream is opened on its connection.
#[tokio::test]
async fn after_an_announced_shutdown_new_calls_use_another_connection() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let active_call = harness.call(LONG_TIMEOUT);
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        gateway.go_away(ANY_STREAM, NO_ERROR).await;
        // Once the PING is answered, the client has read the GOAWAY.
        gateway.ping().await;
        let _second_gateway = harness.check_call_on_new_connection().await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(active_call).await, complete(response(200)));
        // The client closes a draining connection that has no active streams.
        assert_eq!(gateway.next().await.map(|frame| frame.kind), Some(GOAWAY));
        assert_eq!(gateway.next().await, None);
    })
    .await;
}
