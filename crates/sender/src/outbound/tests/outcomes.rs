//! Tests whether a call counts as possibly executed: by the table of the protocol, and for responses that are truncated
//! or split at any byte.

use bytes::Bytes;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert_eq};
use proptest::test_runner::TestRunner;
use rudderspindle_policy::interface::{Listing, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::super::outcome::{Interruption, RequestProgress, ResponseProgress, outcome_without_response};
use super::{
    LARGE_BODY_LEN, NowOrNever, ROUTE, call, listener_with_small_buffers, next_call_outcome, read_request,
    read_to_end, route, set_up,
};
use crate::event::{Call, CallOutcome};

/// Asserts whether a call without a complete response counts as possibly executed, for each progress of the request.
fn assert_possible_execution(response_progress: ResponseProgress, interruption: Interruption) {
    // The call was not executed if the connection was refused, was not opened, or broke before the last byte was
    // written.
    for request_progress in [RequestProgress::NotStarted, RequestProgress::Partial] {
        let outcome = outcome_without_response(request_progress, response_progress, interruption);
        assert!(!outcome.possibly_executed(), "{request_progress:?} {response_progress:?} {interruption:?}");
        // An interruption by this process does not count as a failure of the receiver.
        let caused_by_sender = matches!(interruption, Interruption::Cancelled | Interruption::Withheld);
        assert_eq!(
            outcome == Outcome::NotSent,
            caused_by_sender,
            "{request_progress:?} {response_progress:?} {interruption:?}"
        );
    }
    // The call may have been executed if its last byte was written.
    let outcome = outcome_without_response(RequestProgress::Complete, response_progress, interruption);
    assert!(outcome.possibly_executed(), "{response_progress:?} {interruption:?}");
    assert_eq!(
        outcome == Outcome::Ok,
        response_progress == ResponseProgress::OkStatusLine,
        "{response_progress:?} {interruption:?}"
    );
}

/// Covers, for each interruption, the rows of the protocol's table in which no complete response is received.
#[test]
fn possible_execution_follows_the_protocols_table() {
    for interruption in [
        Interruption::ConnectionBroken,
        Interruption::TimedOut,
        Interruption::Cancelled,
        Interruption::Withheld,
    ] {
        for response_progress in
            [ResponseProgress::Nothing, ResponseProgress::OkStatusLine, ResponseProgress::NoOkStatusLine]
        {
            assert_possible_execution(response_progress, interruption);
        }
    }
    assert_eq!(
        outcome_without_response(
            RequestProgress::Complete,
            ResponseProgress::Nothing,
            Interruption::ConnectionBroken
        ),
        Outcome::Reset
    );
    assert_eq!(
        outcome_without_response(
            RequestProgress::Complete,
            ResponseProgress::Nothing,
            Interruption::TimedOut
        ),
        Outcome::Timeout
    );
    assert_eq!(
        outcome_without_response(
            RequestProgress::Complete,
            ResponseProgress::NoOkStatusLine,
            Interruption::ConnectionBroken
        ),
        Outcome::Error
    );
    assert_eq!(
        outcome_without_response(
            RequestProgress::NotStarted,
            ResponseProgress::Nothing,
            Interruption::ConnectionBroken
        ),
        Outcome::ConnectFailed
    );
}

/// Complete responses and the outcomes that they report.
fn responses() -> Vec<(&'static str, CallOutcome)> {
    let rejected = |backoff_ms| CallOutcome { retry_after: backoff_ms, ..Outcome::Rejected.into() };
    vec![
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Outcome::Ok.into()),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Outcome::Ok.into()),
        ("HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nbody", Outcome::Error.into()),
        ("HTTP/1.1 429 No\r\nX-Backoff-Ms: 250\r\nContent-Length: 4\r\n\r\nbody", rejected(250.0)),
        ("HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", rejected(0.0)),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n",
            Outcome::AttemptsExhausted.into(),
        ),
    ]
}

/// The expected outcome of a response that is truncated to `len` bytes. Status 200 counts once its status line is
/// complete; a rejection counts only if the response is complete.
fn outcome_if_truncated(text: &str, complete: CallOutcome, len: usize) -> CallOutcome {
    let interim_len = text.find("HTTP/1.1 1").map_or(0, |_| "HTTP/1.1 100 Continue\r\n\r\n".len());
    match complete.outcome {
        _ if len == text.len() => complete,
        // An interim response does not count as a response.
        _ if len <= interim_len && (len == interim_len || len == 0) => Outcome::Reset.into(),
        _ if len < interim_len && text.as_bytes()[..len].starts_with(b"HTTP/1.1 1") => Outcome::Reset.into(),
        Outcome::Ok if len >= "HTTP/1.1 200 OK\r\n".len() => complete,
        _ => Outcome::Error.into(),
    }
}

/// The outcome of a call whose receiver writes its response in these pieces, and then closes or resets the connection.
async fn outcome_of_pieces(pieces: &[&[u8]], reset: bool) -> CallOutcome {
    let (outbound, listener, mut inputs) = set_up().await;
    outbound.start_call(call());
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    read_request(&mut stream).await;
    for piece in pieces {
        stream.write_all(piece).await.expect("write to the connection");
        // Yields so that most pieces are read one by one; the outcome must be the same if they are not.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
    }
    if reset {
        stream.set_zero_linger().expect("set the linger option");
    }
    drop(stream);
    let call_outcome = next_call_outcome(&mut inputs).await;
    // The call is sent only once: neither this program nor the HTTP library retries it.
    assert!(listener.accept().now_or_never().is_none(), "the call was sent again");
    call_outcome
}

/// Each response is truncated at each byte, by a close or by a reset.
#[tokio::test]
async fn a_truncated_response_counts_for_what_its_bytes_prove() {
    let test = async {
        for (text, complete) in responses() {
            for len in 0..=text.len() {
                for reset in [false, true] {
                    let call_outcome = outcome_of_pieces(&[&text.as_bytes()[..len]], reset).await;
                    assert_eq!(
                        call_outcome,
                        outcome_if_truncated(text, complete, len),
                        "{:?}, reset: {reset}",
                        &text[..len]
                    );
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The outcome does not depend on how the response is split into pieces.
#[test]
fn a_response_has_the_same_outcome_however_it_is_split() {
    let response_and_splits = (0..responses().len()).prop_flat_map(|index| {
        let length = responses()[index].0.len();
        (Just(index), proptest::collection::btree_set(1..length, 0..6))
    });
    let mut runner =
        TestRunner::new(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let test_result = runner.run(&response_and_splits, |(index, splits)| {
        let (text, complete) = responses()[index];
        let mut pieces = Vec::new();
        let mut rest = text.as_bytes();
        for split in splits.iter().rev() {
            let (before, piece) = rest.split_at(*split);
            pieces.insert(0, piece);
            rest = before;
        }
        pieces.insert(0, rest);
        let call_outcome = tokio::task::LocalSet::new().block_on(&runtime, outcome_of_pieces(&pieces, false));
        prop_assert_eq!(call_outcome, complete);
        Ok(())
    });
    test_result.expect("the same outcome for each way to split the response");
}

/// A receiver executes a call once it has received the last byte. An earlier response does not belong to the call
/// unless it is a rejection. In either case the rest of the call is not sent.
#[tokio::test]
async fn a_call_answered_before_its_last_byte_was_never_executed() {
    let test = async {
        for (status, outcome) in [
            ("200 OK", Outcome::ConnectFailed),
            ("500 No", Outcome::ConnectFailed),
            ("503 No", Outcome::Rejected),
        ] {
            let (outbound, _, mut inputs) = set_up().await;
            let listener = listener_with_small_buffers();
            outbound
                .update_route(ROUTE, route(listener.local_addr().expect("listener address"), Listing::Ready));
            let body = Bytes::from(vec![b'x'; LARGE_BODY_LEN]);
            outbound.start_call(Call { body, ..call() });
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let mut head = [0; 100];
            stream.read_exact(&mut head).await.expect("read part of the request");
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).await.expect("write to the connection");
            let call_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(call_outcome, outcome.into(), "{status}");
            assert!(
                100 + read_to_end(&mut stream).await < LARGE_BODY_LEN,
                "{status}: the whole body was received"
            );
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
