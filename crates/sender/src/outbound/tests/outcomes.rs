//! May it have run? The protocol's table, and answers that are cut or split at every byte.

use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use super::super::outcome::{End, Heard, Sent, unanswered};
use super::*;

/// Every row of the protocol's table without a whole answer, and every way to get there.
#[test]
fn whether_a_call_may_have_run_is_as_the_protocols_table_has_it() {
    for end in [End::Broken, End::TimedOut, End::Cancelled, End::Withheld] {
        for heard in [Heard::Nothing, Heard::Ok, Heard::Spoilt] {
            // Refused, never up, or broken before its last byte was written: never.
            for sent in [Sent::Nothing, Sent::Part] {
                let outcome = unanswered(sent, heard, end);
                assert!(!outcome.possibly_executed(), "{sent:?} {heard:?} {end:?}");
                // Only what the receiver or the network did is held against the receiver.
                let ours = matches!(end, End::Cancelled | End::Withheld);
                assert_eq!(outcome == Outcome::NotSent, ours, "{sent:?} {heard:?} {end:?}");
            }
            // After that it may have.
            let outcome = unanswered(Sent::Whole, heard, end);
            assert!(outcome.possibly_executed(), "{heard:?} {end:?}");
            assert_eq!(outcome == Outcome::Ok, heard == Heard::Ok, "{heard:?} {end:?}");
        }
    }
    assert_eq!(unanswered(Sent::Whole, Heard::Nothing, End::Broken), Outcome::Reset);
    assert_eq!(unanswered(Sent::Whole, Heard::Nothing, End::TimedOut), Outcome::Timeout);
    assert_eq!(unanswered(Sent::Whole, Heard::Spoilt, End::Broken), Outcome::Error);
    assert_eq!(unanswered(Sent::Nothing, Heard::Nothing, End::Broken), Outcome::ConnectFailed);
}

/// Whole answers: what they read as, and what an answer is that ends within them, with a byte at the least.
fn answers() -> Vec<(&'static str, AttemptResult)> {
    let full = |retry_after| AttemptResult { retry_after, ..Outcome::Rejected.into() };
    vec![
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Outcome::Ok.into()),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Outcome::Ok.into()),
        ("HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nbody", Outcome::Error.into()),
        ("HTTP/1.1 429 No\r\nX-Backoff-Ms: 250\r\nContent-Length: 4\r\n\r\nbody", full(250.0)),
        ("HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", full(0.0)),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n",
            Outcome::AttemptsExhausted.into(),
        ),
    ]
}

/// Of an answer that is cut there: 200 counts once its first line is whole; that a call never ran only from a whole one.
fn cut(text: &str, whole: AttemptResult, at: usize) -> AttemptResult {
    let head = text.find("HTTP/1.1 1").map_or(0, |_| "HTTP/1.1 100 Continue\r\n\r\n".len());
    match whole.outcome {
        _ if at == text.len() => whole,
        // What is said ahead of the answer is no answer yet.
        _ if at <= head && (at == head || at == 0) => Outcome::Reset.into(),
        _ if at < head && text.as_bytes()[..at].starts_with(b"HTTP/1.1 1") => Outcome::Reset.into(),
        Outcome::Ok if at >= "HTTP/1.1 200 OK\r\n".len() => whole,
        _ => Outcome::Error.into(),
    }
}

/// Plays a receiver that writes its answer in these pieces and then ends the connection.
async fn outcome_of(pieces: &[&[u8]], reset: bool) -> AttemptResult {
    let (outbound, listener, mut inputs) = set_up().await;
    outbound.start(call());
    let (mut stream, _) = listener.accept().await.expect("a connection");
    request(&mut stream).await;
    for piece in pieces {
        stream.write_all(piece).await.expect("writable");
        // So that most pieces are read by themselves; what comes of it is the same if not.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
    }
    if reset {
        stream.set_zero_linger().expect("it can be reset");
    }
    drop(stream);
    let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
    // However it ended, the call was the only one: neither we nor the HTTP library send it again.
    assert!(listener.accept().now_or_never().is_none(), "it went again");
    report
}

/// It ends after the status line, in a header, in a chunk, at any byte; by a close or a reset.
#[tokio::test]
async fn an_answer_that_ends_too_early_is_judged_by_what_it_surely_says() {
    let test = async {
        for (text, whole) in answers() {
            for at in 0..=text.len() {
                for reset in [false, true] {
                    let found = outcome_of(&[&text.as_bytes()[..at]], reset).await;
                    assert_eq!(found, cut(text, whole, at), "{:?}, reset: {reset}", &text[..at]);
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// However it comes in pieces, an answer reads the same.
#[test]
fn an_answer_reads_the_same_wherever_it_is_split() {
    let answer = (0..answers().len()).prop_flat_map(|n| {
        let length = answers()[n].0.len();
        (Just(n), proptest::collection::btree_set(1..length, 0..6))
    });
    let mut runner =
        TestRunner::new(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let split = runner.run(&answer, |(n, at)| {
        let (text, whole) = answers()[n];
        let (mut pieces, mut rest) = (Vec::new(), text.as_bytes());
        for at in at.iter().rev() {
            let (before, piece) = rest.split_at(*at);
            pieces.insert(0, piece);
            rest = before;
        }
        pieces.insert(0, rest);
        let found = tokio::task::LocalSet::new().block_on(&runtime, outcome_of(&pieces, false));
        prop_assert_eq!(found, whole);
        Ok(())
    });
    split.expect("the same wherever it is split");
}

/// A receiver begins a call when its last byte has come: an answer before that is to something else, unless it
/// turns the call away; in either case no further byte goes.
#[tokio::test]
async fn what_is_answered_before_the_last_byte_never_ran() {
    let test = async {
        for (status, outcome) in [
            ("200 OK", Outcome::ConnectFailed),
            ("500 No", Outcome::ConnectFailed),
            ("503 No", Outcome::Rejected),
        ] {
            let (outbound, _, mut inputs) = set_up().await;
            let listener = narrow();
            outbound.list(ROUTE, route(listener.local_addr().expect("an address"), Listing::Ready));
            let body = Bytes::from(vec![b'x'; LARGE]);
            outbound.start(Call { body, ..call() });
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 100];
            stream.read_exact(&mut head).await.expect("a head");
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.expect("writable");
            let Input::Outcome { result: report, .. } = next(&mut inputs).await else { panic!("no outcome") };
            assert_eq!(report, outcome.into(), "{status}");
            assert!(100 + read_to_end(&mut stream).await < LARGE, "{status}: all of it came");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
