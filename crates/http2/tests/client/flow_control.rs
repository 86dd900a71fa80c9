//! Flow-control windows and the limit on concurrent streams.

use rudderspindle_http2::outcome::{DeliveryOutcome, StreamOutcome};
use rudderspindle_http2::pool::PoolLimits;
use tokio::task::yield_now;

use crate::harness::{
    CANCEL, INTERNAL_ERROR, LONG_TIMEOUT, REFUSED_STREAM, SHORT_TIMEOUT, complete, incomplete, outcome,
    reset, response, run, start,
};
use rudderspindle_testkit::frames::StreamReset;

/// The flow-control window of each stream is closed at first, so that the client cannot send the body.
#[tokio::test]
async fn a_request_that_is_ended_before_its_last_byte_is_not_executed() {
    run(async {
        let harness = start(PoolLimits::default()).await;
        let mut gateway = harness.accept_with_closed_windows().await;
        let call = harness.call(SHORT_TIMEOUT);
        assert_eq!(outcome(call).await, incomplete(StreamOutcome::DeadlineExceeded));
        assert_eq!(gateway.reset_by_client().await, StreamReset { stream: 3, code: CANCEL });
        // A request is incomplete with half of its body, and complete with all of it.
        let call = harness.call(SHORT_TIMEOUT);
        assert_eq!(gateway.next().await.expect("a head").stream, 5);
        gateway.increase_window(5, 2).await;
        assert_eq!(gateway.next().await.expect("half of the body").payload, b"te");
        assert_eq!(outcome(call).await, incomplete(StreamOutcome::DeadlineExceeded));
        gateway.reset_by_client().await;
        let call = harness.call(LONG_TIMEOUT);
        assert_eq!(gateway.next().await.expect("a head").stream, 7);
        gateway.increase_window(7, 2).await;
        gateway.increase_window(7, 2).await;
        assert_eq!(gateway.request().await, 7);
        gateway.head(7, 200, None, true).await;
        assert_eq!(outcome(call).await, complete(response(200)));
        // The gateway resets a request before it is complete.
        let call = harness.call(LONG_TIMEOUT);
        let stream = gateway.next().await.expect("a head").stream;
        gateway.reset(stream, INTERNAL_ERROR).await;
        let reset_call = outcome(call).await;
        assert_eq!(reset_call, incomplete(reset(INTERNAL_ERROR)));
        assert_eq!(reset_call.stream.delivery(reset_call.request_complete), DeliveryOutcome::NotExecuted);
        assert_eq!(harness.connects(), 1);
    })
    .await;
}

/// The gateway lowers the stream limit from 100 to 0 during a burst and raises it to 3 again. The limit is never
/// exceeded, the waiting calls start when it is raised, and no further connection is opened to circumvent it.
#[tokio::test]
async fn a_stream_limit_that_changes_during_a_burst_is_respected() {
    run(async {
        let harness = start(PoolLimits { max_connections: 1, ..PoolLimits::default() }).await;
        let mut calls: Vec<_> = (0..10).map(|_| harness.call(LONG_TIMEOUT)).collect();
        let mut gateway = harness.accept().await;
        let mut active = Vec::new();
        for _ in 0..10 {
            active.push(gateway.request().await);
        }
        gateway.set_max_streams(0).await;
        gateway.head(active.remove(0), 200, None, true).await;
        assert_eq!(outcome(calls.remove(0)).await.stream, response(200));
        // The gateway refuses the streams beyond its limit: they are not executed.
        for stream in active.drain(..) {
            gateway.reset(stream, REFUSED_STREAM).await;
            assert_eq!(outcome(calls.remove(0)).await.stream, reset(REFUSED_STREAM));
        }
        calls.extend((0..4).map(|_| harness.call(LONG_TIMEOUT)));
        yield_now().await;
        assert_eq!(harness.endpoint.available_slots(), 0);
        gateway.set_max_streams(3).await;
        for _ in 0..3 {
            active.push(gateway.request().await);
        }
        assert_eq!(harness.endpoint.available_slots(), 0);
        gateway.head(active.remove(0), 200, None, true).await;
        // The fourth call was waiting for this slot.
        active.push(gateway.request().await);
        for stream in active {
            gateway.head(stream, 200, None, true).await;
        }
        for call in calls {
            assert_eq!(outcome(call).await.stream, response(200));
        }
        assert_eq!(harness.connects(), 1);
    })
    .await;
}
