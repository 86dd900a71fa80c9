//! The two deadlines of a call.

use std::time::Duration;

use rudderspindle_http2::client::CallDeadlines;
use rudderspindle_http2::outcome::StreamOutcome;
use rudderspindle_http2::pool::PoolLimits;
use tokio::time::{Instant, sleep};

use crate::harness::{LONG_TIMEOUT, SHORT_TIMEOUT, complete, incomplete, outcome, response, run, start};

/// Returns deadlines at these durations from now.
fn deadlines(response: Duration, request: Duration) -> CallDeadlines {
    let now = Instant::now();
    CallDeadlines { response: now + response, request: now + request }
}

#[tokio::test]
async fn a_complete_request_is_answered_after_its_request_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let call = harness.call_with_deadlines(deadlines(LONG_TIMEOUT, SHORT_TIMEOUT));
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        sleep(SHORT_TIMEOUT * 2).await;
        gateway.head(stream, 200, None, true).await;
        assert_eq!(outcome(call).await, complete(response(200)));
    })
    .await;
}

#[tokio::test]
async fn a_complete_request_ends_at_its_response_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let started = Instant::now();
        let call = harness.call_with_deadlines(deadlines(SHORT_TIMEOUT, LONG_TIMEOUT));
        let mut gateway = harness.accept().await;
        gateway.request().await;
        assert_eq!(outcome(call).await, complete(StreamOutcome::DeadlineExceeded));
        assert!(started.elapsed() >= SHORT_TIMEOUT);
    })
    .await;
}

/// The flow-control window of the stream is closed, so that the client cannot send the body.
#[tokio::test]
async fn an_incomplete_request_ends_at_the_earlier_deadline() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let _gateway = harness.accept_with_closed_windows().await;
        for (response, request) in [(LONG_TIMEOUT, SHORT_TIMEOUT), (SHORT_TIMEOUT, LONG_TIMEOUT)] {
            let started = Instant::now();
            let call = harness.call_with_deadlines(deadlines(response, request));
            assert_eq!(outcome(call).await, incomplete(StreamOutcome::DeadlineExceeded));
            assert!((SHORT_TIMEOUT..LONG_TIMEOUT).contains(&started.elapsed()), "{:?}", started.elapsed());
        }
    })
    .await;
}
