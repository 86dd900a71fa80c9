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

use crate::harness::{LONG_TIMEOUT, complete, deadlines, incomplete, listen, outcome, request, run, start};

#[tokio::test]
async fn a_lost_connection_or_a_protocol_error_interrupts_all_its_calls() {
    run(async {
        for protocol_error in [false, true] {
            let harness = start(PoolLimits::default()).await;
            let calls = [harness.call(LONG_TIMEOUT), harness.call(LONG_TIMEOUT)];
            let mut gateway = harness.accept().await;
            gateway.request().await;
            gateway.request().await;
            if protocol_error {
                // A DATA frame on stream 0 is a connection error.
                gateway.data(0, b"no").await;
            }
            // Without a protocol error the gateway is dropped here, which closes the connection.
            let _open_gateway = protocol_error.then_some(gateway);
            for call in calls {
                assert_eq!(outcome(call).await, complete(StreamOutcome::ConnectionLost));
            }
        }
    })
    .await;
}

/// The gateway stops responding while 60 streams are active; a PING detects that long before the deadlines of the
/// calls.
#[tokio::test]
async fn one_unanswered_ping_ends_all_calls_of_a_connection() {
    run(async {
        let limits =
            PoolLimits { keep_alive_interval: 200, keep_alive_timeout: 200, ..PoolLimits::default() };
        let harness = start(limits).await;
        let calls: Vec<_> = (0..60).map(|_| harness.call(LONG_TIMEOUT)).collect();
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
        // The next call opens a new connection immediately.
        let _second_gateway = harness.check_call_on_new_connection().await;
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
        let call = endpoint.call(request(), Bytes::new(), deadlines(LONG_TIMEOUT));
        let call_outcome = with_timeout("the end of a call", call).await;
        assert_eq!(call_outcome, incomplete(StreamOutcome::NotOpened));
        assert_eq!(call_outcome.stream.delivery(call_outcome.request_complete), DeliveryOutcome::NotExecuted);
    })
    .await;
}

/// A connection attempt that never ends is abandoned after the connect timeout, and the next call starts another.
#[tokio::test]
async fn a_connection_attempt_ends_at_the_connect_timeout() {
    run(async {
        let limits = PoolLimits { connect_timeout: 100, ..PoolLimits::default() };
        let connects = Rc::new(Cell::new(0));
        let connect_count = connects.clone();
        let endpoint = Endpoint::new(limits, move || {
            connect_count.set(connect_count.get() + 1);
            pending::<io::Result<TcpStream>>()
        });
        for attempt in 1..3 {
            let deadlines = deadlines(LONG_TIMEOUT);
            let call = endpoint.call(request(), Bytes::new(), deadlines);
            let call_outcome = with_timeout("the end of a call", call).await;
            assert_eq!((call_outcome.stream, connects.get()), (StreamOutcome::NotOpened, attempt));
            assert!(Instant::now() < deadlines.response, "the call waited until its deadline");
        }
    })
    .await;
}
