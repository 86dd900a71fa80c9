//! Whether a call may have been executed: the protocol's table, and responses that are cut or split at every byte.

use bytes::Bytes;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert_eq};
use proptest::test_runner::TestRunner;
use rudderspindle_policy::interface::{Listing, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::super::outcome::{Interruption, RequestProgress, ResponseProgress, outcome_without_response};
use super::{LARGE, NowOrNever, ROUTE, call, narrow, next_outcome, read_request, read_to_end, route, set_up};
use crate::event::{Call, CallOutcome};

/// Checks the outcomes without a complete response, for each progress of the request.
fn assert_possible_execution(received: ResponseProgress, interruption: Interruption) {
    // Refused, never opened, or broken before the last byte was written: never executed.
    for sent in [RequestProgress::NotStarted, RequestProgress::Partial] {
        let outcome = outcome_without_response(sent, received, interruption);
        assert!(!outcome.possibly_executed(), "{sent:?} {received:?} {interruption:?}");
        // An interruption by this process is no failure of the receiver.
        let caused_by_sender = matches!(interruption, Interruption::Cancelled | Interruption::Withheld);
        assert_eq!(outcome == Outcome::NotSent, caused_by_sender, "{sent:?} {received:?} {interruption:?}");
    }
    // After that it may have been.
    let outcome = outcome_without_response(RequestProgress::Complete, received, interruption);
    assert!(outcome.possibly_executed(), "{received:?} {interruption:?}");
    assert_eq!(
        outcome == Outcome::Ok,
        received == ResponseProgress::OkStatusLine,
        "{received:?} {interruption:?}"
    );
}

/// Every row of the protocol's table without a complete response, for every interruption.
#[test]
fn possible_execution_follows_the_protocols_table() {
    for interruption in [
        Interruption::ConnectionBroken,
        Interruption::TimedOut,
        Interruption::Cancelled,
        Interruption::Withheld,
    ] {
        for received in
            [ResponseProgress::Nothing, ResponseProgress::OkStatusLine, ResponseProgress::Unusable]
        {
            assert_possible_execution(received, interruption);
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
            ResponseProgress::Unusable,
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

/// Complete responses and their results.
fn responses() -> Vec<(&'static str, CallOutcome)> {
    let rejected = |wait| CallOutcome { retry_after: wait, ..Outcome::Rejected.into() };
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

/// The result of a response that is cut at `at`: a 200 counts once its status line is complete, a rejection only if the
/// response is complete.
fn result_if_cut(text: &str, complete: CallOutcome, at: usize) -> CallOutcome {
    let head = text.find("HTTP/1.1 1").map_or(0, |_| "HTTP/1.1 100 Continue\r\n\r\n".len());
    match complete.outcome {
        _ if at == text.len() => complete,
        // An interim response is no response yet.
        _ if at <= head && (at == head || at == 0) => Outcome::Reset.into(),
        _ if at < head && text.as_bytes()[..at].starts_with(b"HTTP/1.1 1") => Outcome::Reset.into(),
        Outcome::Ok if at >= "HTTP/1.1 200 OK\r\n".len() => complete,
        _ => Outcome::Error.into(),
    }
}

/// The result for a receiver that writes its response in these pieces and then closes the connection.
async fn result_of(pieces: &[&[u8]], reset: bool) -> CallOutcome {
    let (outbound, listener, mut inputs) = set_up().await;
    outbound.start_call(call());
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_request(&mut stream).await;
    for piece in pieces {
        stream.write_all(piece).await.expect("writable");
        // Most pieces are read one by one; the result does not depend on it.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
    }
    if reset {
        stream.set_zero_linger().expect("it can be reset");
    }
    drop(stream);
    let call_outcome = next_outcome(&mut inputs).await;
    // In any case the call was sent once: neither this program nor the HTTP library sends it again.
    assert!(listener.accept().now_or_never().is_none(), "it was sent again");
    call_outcome
}

/// Truncated at each byte, by a close or by a reset.
#[tokio::test]
async fn a_truncated_response_counts_for_what_its_bytes_prove() {
    let test = async {
        for (text, complete) in responses() {
            for at in 0..=text.len() {
                for reset in [false, true] {
                    let found = result_of(&[&text.as_bytes()[..at]], reset).await;
                    assert_eq!(found, result_if_cut(text, complete, at), "{:?}, reset: {reset}", &text[..at]);
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The result does not depend on how the response is split into pieces.
#[test]
fn a_response_has_the_same_result_wherever_it_is_split() {
    let response = (0..responses().len()).prop_flat_map(|n| {
        let length = responses()[n].0.len();
        (Just(n), proptest::collection::btree_set(1..length, 0..6))
    });
    let mut runner =
        TestRunner::new(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let split = runner.run(&response, |(n, at)| {
        let (text, complete) = responses()[n];
        let mut pieces = Vec::new();
        let mut rest = text.as_bytes();
        for at in at.iter().rev() {
            let (before, piece) = rest.split_at(*at);
            pieces.insert(0, piece);
            rest = before;
        }
        pieces.insert(0, rest);
        let found = tokio::task::LocalSet::new().block_on(&runtime, result_of(&pieces, false));
        prop_assert_eq!(found, complete);
        Ok(())
    });
    split.expect("the same wherever it is split");
}

/// A receiver executes a call once it has received the last byte: a response before that does not belong to the call,
/// unless it rejects it. In either case no further byte is sent.
#[tokio::test]
async fn a_call_answered_before_its_last_byte_was_never_executed() {
    let test = async {
        for (status, outcome) in [
            ("200 OK", Outcome::ConnectFailed),
            ("500 No", Outcome::ConnectFailed),
            ("503 No", Outcome::Rejected),
        ] {
            let (outbound, _, mut inputs) = set_up().await;
            let listener = narrow();
            outbound.update_route(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
            let body = Bytes::from(vec![b'x'; LARGE]);
            outbound.start_call(Call { body, ..call() });
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 100];
            stream.read_exact(&mut head).await.expect("a head");
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(response.as_bytes()).await.expect("writable");
            let call_outcome = next_outcome(&mut inputs).await;
            assert_eq!(call_outcome, outcome.into(), "{status}");
            assert!(100 + read_to_end(&mut stream).await < LARGE, "{status}: all of it was received");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
