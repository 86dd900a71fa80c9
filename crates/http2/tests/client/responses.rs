//! Responses, and resets of single streams by the gateway or the client.

use std::time::Duration;

use rudderspindle_http2::outcome::StreamOutcome;
use rudderspindle_http2::pool::PoolLimits;

use crate::harness::{
    CANCEL, ENHANCE_YOUR_CALM, HTTP_1_1_REQUIRED, INTERNAL_ERROR, LONG_TIMEOUT, NO_ERROR, REFUSED_STREAM,
    complete, outcome, reset, response, run, start,
};
use rudderspindle_testkit::frames::StreamReset;

/// Frames that the gateway sends in addition to the head of a response.
#[derive(Clone, Copy, Debug)]
enum AdditionalFrames {
    Reset,
    /// A part of the body, without the end of the stream.
    BodyWithoutEnd,
    Trailers,
    /// An interim response (103) before the head.
    EarlyHint,
}

#[tokio::test]
async fn the_head_of_a_response_determines_the_outcome() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let first_call = harness.call(LONG_TIMEOUT);
        let mut gateway = harness.accept().await;
        let stream = gateway.request().await;
        gateway.head(stream, 201, None, true).await;
        assert_eq!(outcome(first_call).await, complete(response(201)));
        for additional_frames in [
            AdditionalFrames::Reset,
            AdditionalFrames::BodyWithoutEnd,
            AdditionalFrames::Trailers,
            AdditionalFrames::EarlyHint,
        ] {
            let call = harness.call(LONG_TIMEOUT);
            let stream = gateway.request().await;
            if let AdditionalFrames::EarlyHint = additional_frames {
                gateway.head(stream, 103, None, false).await;
            }
            gateway.head(stream, 200, None, false).await;
            match additional_frames {
                AdditionalFrames::Reset => gateway.reset(stream, INTERNAL_ERROR).await,
                AdditionalFrames::BodyWithoutEnd => gateway.data(stream, &[7; 1_000]).await,
                AdditionalFrames::Trailers => gateway.trailers(stream).await,
                AdditionalFrames::EarlyHint => {}
            }
            assert_eq!(outcome(call).await, complete(response(200)), "{additional_frames:?}");
        }
        for (status, header, seconds) in
            [(429, Some("7"), Some(7)), (503, None, None), (410, None, None), (421, None, None)]
        {
            let call = harness.call(LONG_TIMEOUT);
            let stream = gateway.request().await;
            gateway.head(stream, status, header, true).await;
            let retry_after = seconds.map(Duration::from_secs);
            assert_eq!(outcome(call).await, complete(StreamOutcome::Response { status, retry_after }));
        }
        assert_eq!(harness.connects(), 1, "all calls use one connection");
    })
    .await;
}

#[tokio::test]
async fn a_reset_reports_its_error_code_and_ends_no_other_stream() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let other_call = harness.call(LONG_TIMEOUT);
        let mut gateway = harness.accept().await;
        let other_stream = gateway.request().await;
        let unassigned_code = 0xffff_ffff;
        for error_code in [
            NO_ERROR,
            INTERNAL_ERROR,
            REFUSED_STREAM,
            CANCEL,
            ENHANCE_YOUR_CALM,
            HTTP_1_1_REQUIRED,
            unassigned_code,
        ] {
            let call = harness.call(LONG_TIMEOUT);
            let stream = gateway.request().await;
            gateway.reset(stream, error_code).await;
            assert_eq!(outcome(call).await, complete(reset(error_code)));
        }
        gateway.head(other_stream, 200, None, true).await;
        assert_eq!(outcome(other_call).await.stream, response(200));
        assert_eq!(harness.connects(), 1);
    })
    .await;
}

#[tokio::test]
async fn dropping_a_call_resets_only_its_stream() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let (dropped_call, other_call) = (harness.call(LONG_TIMEOUT), harness.call(LONG_TIMEOUT));
        let mut gateway = harness.accept().await;
        let streams = [gateway.request().await, gateway.request().await];
        dropped_call.abort();
        assert_eq!(gateway.reset_by_client().await, StreamReset { stream: streams[0], code: CANCEL });
        gateway.head(streams[1], 200, None, true).await;
        assert_eq!(outcome(other_call).await.stream, response(200));
    })
    .await;
}
