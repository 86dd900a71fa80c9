//! Connections that are lost, become unresponsive or cannot be established.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_http2::client::Endpoint;
use rudderspindle_http2::outcome::{DeliveryOutcome, StreamOutcome};
use rudderspindle_http2::pool::PoolLimits;
use rudderspindle_testkit::scripted_peers::with_timeout;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::harness::{LONG, complete, deadlines, incomplete, listen, outcome, request, run, start};

#[tokio::test]
async fn a_lost_connection_or_a_protocol_error_interrupts_all_its_calls() {
    run(async {
        for protocol_error in [false, true] {
            let harness = start(PoolLimits::default()).await;
            let calls = [harness.call(LONG), harness.call(LONG)];
            let mut gateway = harness.accept().await;
            gateway.request().await;
            gateway.request().await;
            if protocol_error {
                // A DATA frame on stream 0 is a connection error.
                gateway.data(0, b"no").await;
            }
            // Otherwise it is dropped here, which closes the connection.
            let _open = protocol_error.then_some(gateway);
            for call in calls {
                assert_eq!(outcome(call).await, complete(StreamOutcome::ConnectionLost));
            }
        }
    })
    .await;
}

/// The gateway becomes unresponsive with sixty active streams: the PING detects it long before the calls' deadlines.
#[tokio::test]
async fn one_unanswered_ping_ends_all_calls_of_a_silent_connection() {
    run(async {
        let limits =
            PoolLimits { keep_alive_interval: 200, keep_alive_timeout: 200, ..PoolLimits::default() };
        let harness = start(limits).await;
        let calls: Vec<_> = (0..60).map(|_| harness.call(LONG)).collect();
        let mut gateway = harness.accept().await;
        for _ in 0..60 {
            gateway.request().await;
        }
        gateway.answers_pings = false;
        let started = Instant::now();
        for call in calls {
            assert_eq!(outcome(call).await, complete(StreamOutcome::PingTimeout));
        }
        assert!(started.elapsed() < Duration::from_secs(10));
        // The next call does not wait: it opens a new connection.
        let _second = harness.check_call_on_new_connection().await;
        assert_eq!(harness.connects(), 2);
    })
    .await;
}

#[tokio::test]
async fn a_call_is_not_executed_if_no_connection_is_established() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let endpoint = Endpoint::new(PoolLimits::default(), move || TcpStream::connect(address));
        let call = endpoint.call(request(), Bytes::new(), deadlines(LONG));
        let failed = with_timeout("the end of a call", call).await;
        assert_eq!(failed, incomplete(StreamOutcome::NotOpened));
        assert_eq!(failed.stream.delivery(failed.request_complete), DeliveryOutcome::NotExecuted);
    })
    .await;
}

/// A connection attempt that hangs is abandoned, and does not keep later calls from starting another.
#[tokio::test]
async fn a_hanging_connection_attempt_is_abandoned_after_the_connect_timeout() {
    run(async {
        let limits = PoolLimits { connect_timeout: 100, ..PoolLimits::default() };
        let connects = Rc::new(Cell::new(0));
        let count = connects.clone();
        let endpoint = Endpoint::new(limits, move || {
            count.set(count.get() + 1);
            pending::<io::Result<TcpStream>>()
        });
        for attempt in 1..3 {
            let deadlines = deadlines(LONG);
            let call = endpoint.call(request(), Bytes::new(), deadlines);
            let failed = with_timeout("the end of a call", call).await;
            assert_eq!((failed.stream, connects.get()), (StreamOutcome::NotOpened, attempt));
            assert!(Instant::now() < deadlines.response, "the call waited until its deadline");
        }
    })
    .await;
}
