use std::time::Duration;

use super::DeliveryOutcome::{
    Delivered, Failed, Interrupted, NoResponse, NotExecuted, PermanentFailure, Rejected,
};
use super::{MAX_RETRY_AFTER, StreamOutcome};

fn response(status: u16) -> StreamOutcome {
    StreamOutcome::Response { status, retry_after: None }
}

fn reset(error_code: u32) -> StreamOutcome {
    StreamOutcome::Reset { error_code }
}

/// The rows are those of the table in `docs/design/http2.md`: a stream outcome, then the delivery outcomes of a
/// complete and of an incomplete request.
#[test]
fn stream_outcomes_map_to_the_delivery_outcomes_of_the_design() {
    let rejected = Rejected { retry_after: Duration::ZERO };
    let rows = [
        (response(200), Delivered, Failed),
        (response(201), Delivered, Failed),
        (response(204), Delivered, Failed),
        (response(429), rejected, rejected),
        (response(503), rejected, rejected),
        (response(404), PermanentFailure, PermanentFailure),
        (response(410), PermanentFailure, PermanentFailure),
        (response(421), NotExecuted, NotExecuted),
        (response(413), PermanentFailure, PermanentFailure),
        (response(400), PermanentFailure, PermanentFailure),
        (response(500), Failed, NotExecuted),
        (response(502), Failed, NotExecuted),
        (response(504), Failed, NotExecuted),
        (response(307), Failed, NotExecuted),
        (response(700), Failed, NotExecuted),
        (reset(0x7), NotExecuted, NotExecuted),
        (reset(0x0), Interrupted, NotExecuted),
        (reset(0x2), Interrupted, NotExecuted),
        (reset(0x8), Interrupted, NotExecuted),
        (reset(0xb), Interrupted, NotExecuted),
        (reset(0xd), Interrupted, NotExecuted),
        (reset(0xffff_ffff), Interrupted, NotExecuted),
        (StreamOutcome::GoAway, NotExecuted, NotExecuted),
        (StreamOutcome::ConnectionLost, Interrupted, NotExecuted),
        (StreamOutcome::PingTimeout, NoResponse, NotExecuted),
        (StreamOutcome::DeadlineExceeded, NoResponse, NotExecuted),
        (StreamOutcome::NotOpened, NotExecuted, NotExecuted),
    ];
    for (outcome, complete, incomplete) in rows {
        assert_eq!((outcome.delivery(true), outcome.delivery(false)), (complete, incomplete), "{outcome:?}");
    }
}

#[test]
fn a_retry_after_beyond_the_maximum_is_capped() {
    let outcome = StreamOutcome::Response { status: 503, retry_after: Some(Duration::MAX) };
    assert_eq!(outcome.delivery(true), Rejected { retry_after: MAX_RETRY_AFTER });
}
