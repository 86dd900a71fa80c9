//! Responses and resets of single streams.

use std::time::Duration;

use rudderspindle_http2::outcome::StreamOutcome;
use rudderspindle_http2::pool::PoolLimits;

use crate::harness::{
    CANCEL, ENHANCE_YOUR_CALM, HTTP_1_1_REQUIRED, INTERNAL_ERROR, LONG, NO_ERROR, REFUSED_STREAM, complete,
    outcome, reset, response, run, start,
};
use rudderspindle_testkit::frames::StreamReset;

/// Frames that the gateway sends in addition to the head of a response.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Reset,
    BodyWithoutEnd,
    Trailers,
    EarlyHint,
}

#[tokio::test]
async fn the_head_of_a_response_counts_whatever_follows_it() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let first = harness.call(LONG);
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        gateway.head(stream, 201, None, true).await;
        assert_eq!(outcome(first).await, complete(response(201)));
        for beside in [Beside::Reset, Beside::BodyWithoutEnd, Beside::Trailers, Beside::EarlyHint] {
            let call = harness.call(LONG);
            let stream = gateway.request().await;
            if let Beside::EarlyHint = beside {
                gateway.head(stream, 103, None, false).await;
            }
            gateway.head(stream, 200, None, false).await;
            match beside {
                Beside::Reset => gateway.reset(stream, INTERNAL_ERROR).await,
                Beside::BodyWithoutEnd => gateway.data(stream, &[7; 1_000]).await,
                Beside::Trailers => gateway.trailers(stream).await,
                Beside::EarlyHint => {}
            }
            assert_eq!(outcome(call).await, complete(response(200)), "{beside:?}");
        }
        for (status, header, seconds) in
            [(429, Some("7"), Some(7)), (503, None, None), (410, None, None), (421, None, None)]
        {
            let call = harness.call(LONG);
            let stream = gateway.request().await;
            gateway.head(stream, status, header, true).await;
            let retry_after = seconds.map(Duration::from_secs);
            assert_eq!(outcome(call).await, complete(StreamOutcome::Response { status, retry_after }));
        }
        assert_eq!(harness.connects(), 1, "one connection carries them all");
    })
    .await;
}

#[tokio::test]
async fn a_reset_reports_its_error_code_and_ends_no_other_stream() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let other = harness.call(LONG);
        let mut gateway = harness.accept().await;
        let first = gateway.request().await;
        let unknown = 0xffff_ffff;
        for error_code in
            [NO_ERROR, INTERNAL_ERROR, REFUSED_STREAM, CANCEL, ENHANCE_YOUR_CALM, HTTP_1_1_REQUIRED, unknown]
        {
            let call = harness.call(LONG);
            let stream = gateway.request().await;
            gateway.reset(stream, error_code).await;
            assert_eq!(outcome(call).await, complete(reset(error_code)));
        }
        gateway.head(first, 200, None, true).await;
        assert_eq!(outcome(other).await.stream, response(200));
        assert_eq!(harness.connects(), 1);
    })
    .await;
}

#[tokio::test]
async fn dropping_a_call_resets_its_stream_alone() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let (dropped, kept) = (harness.call(LONG), harness.call(LONG));
        let mut gateway = harness.accept().await;
        let streams = [gateway.request().await, gateway.request().await];
        dropped.abort();
        assert_eq!(gateway.reset_by_client().await, StreamReset { stream: streams[0], code: CANCEL });
        gateway.head(streams[1], 200, None, true).await;
        assert_eq!(outcome(kept).await.stream, response(200));
    })
    .await;
}
