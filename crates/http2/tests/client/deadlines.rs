//! The two deadlines of a call.

use std::time::Duration;

use rudderspindle_http2::client::CallDeadlines;
use rudderspindle_http2::outcome::StreamOutcome;
use rudderspindle_http2::pool::PoolLimits;
use tokio::time::{Instant, sleep};

use crate::harness::{LONG, SHORT, complete, incomplete, outcome, response, run, start};

/// Deadlines after these durations.
fn deadlines(response: Duration, request: Duration) -> CallDeadlines {
    let now = Instant::now();
    CallDeadlines { response: now + response, request: now + request }
}

#[tokio::test]
async fn a_complete_request_is_answered_after_its_request_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let call = harness.call_with_deadlines(deadlines(LONG, SHORT));
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        sleep(SHORT * 2).await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(call).await, complete(response(200)));
    })
    .await;
}

#[tokio::test]
async fn a_complete_request_without_a_response_ends_at_its_response_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let started = Instant::now();
        let call = harness.call_with_deadlines(deadlines(SHORT, LONG));
        let mut gateway = harness.accept().await;
        gateway.request().await;
        assert_eq!(outcome(call).await, complete(StreamOutcome::DeadlineExceeded));
        assert!(started.elapsed() >= SHORT);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_the_window_holds_back_ends_at_the_earlier_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let _gateway = harness.accept_with_closed_windows().await;
        for (response, request) in [(LONG, SHORT), (SHORT, LONG)] {
            let started = Instant::now();
            let call = harness.call_with_deadlines(deadlines(response, request));
            assert_eq!(outcome(call).await, incomplete(StreamOutcome::DeadlineExceeded));
            assert!((SHORT..LONG).contains(&started.elapsed()), "{:?}", started.elapsed());
        }
    })
    .await;
}
