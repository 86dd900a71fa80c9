//! Responses around the deadline of a call.

use std::rc::Rc;
use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::super::Outbound;
use super::{call, next_outcome, set_up};
use crate::event::Call;

/// A call whose request has been received, and its deadline.
async fn received_call(outbound: &Rc<Outbound>, listener: &TcpListener) -> (TcpStream, Instant) {
    let deadline = Instant::now() + Duration::from_millis(400);
    outbound.start_call(Call { response_deadline: deadline, write_deadline: deadline, ..call() });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(stream.read_buf(&mut request).await.expect("a request") > 0, "it ends too early");
    }
    (stream, deadline)
}

/// Blocks the runtime until after the deadline, so that it sees the response and the timeout in the same tick.
fn block_until_after(deadline: Instant) {
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()) + Duration::from_millis(2));
}

/// The request announces the deadline. A response after it does not count, also if the sender's timer has not fired yet:
/// the receiver treats the call as abandoned.
#[tokio::test]
async fn a_response_after_the_deadline_does_not_count_even_in_the_tick_of_the_timeout() {
    let test = async {
        for status in ["200 OK", "500 No", "429 No\r\nX-Backoff-Ms: 250"] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (stream, deadline) = received_call(&outbound, &listener).await;
            block_until_after(deadline);
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            assert_eq!(stream.try_write(response.as_bytes()).expect("writable"), response.len());
            let call_outcome = next_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::Timeout.into(), "{status}");
            assert_eq!(outbound.active_backoffs().is_empty(), !status.contains("Backoff"), "{status}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A rejection counts only if it is complete, and its rest is waited for until the call's deadline at the latest.
#[tokio::test]
async fn an_endless_rejection_delays_its_call_no_longer_than_its_deadline() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let (mut stream, deadline) = received_call(&outbound, &listener).await;
        // Half a second more would be far beyond the deadline.
        tokio::time::sleep_until(deadline - Duration::from_millis(50)).await;
        let half = b"HTTP/1.1 503 No\r\nContent-Length: 8\r\n\r\nhalf";
        stream.write_all(half).await.expect("writable");
        let call_outcome = next_outcome(&mut inputs).await;
        assert_eq!(call_outcome, Outcome::Error.into());
        assert!(deadline.elapsed() < Duration::from_millis(300), "{:?} late", deadline.elapsed());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A message is delivered by a complete status line with 200, and not by half of one.
#[tokio::test]
async fn half_a_status_line_delivers_nothing() {
    let test = async {
        for (written, outcome) in [
            ("HTTP/1.1 200", Outcome::Error),
            ("HTTP/1.1 200 OK", Outcome::Error),
            ("HTTP/1.1 200 OK\r\n", Outcome::Ok),
            ("HTTP/1.1 200\r\nContent-Le", Outcome::Ok),
            ("HTTP/1.1 2000 OK\r\n", Outcome::Error),
        ] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (mut stream, _) = received_call(&outbound, &listener).await;
            stream.write_all(written.as_bytes()).await.expect("writable");
            drop(stream);
            let call_outcome = next_outcome(&mut inputs).await;
            assert_eq!(call_outcome, outcome.into(), "{written:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
