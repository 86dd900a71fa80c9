//! Tests responses that are received around the deadline of a call.

use std::rc::Rc;
use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::super::Outbound;
use super::{call, next_call_outcome, set_up};
use crate::event::Call;

/// Starts a call and reads its request. Returns the receiver's end of the connection, and the call's deadline.
async fn start_and_read_call(outbound: &Rc<Outbound>, listener: &TcpListener) -> (TcpStream, Instant) {
    let deadline = Instant::now() + Duration::from_millis(400);
    outbound.start_call(Call { response_deadline: deadline, write_deadline: deadline, ..call() });
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(
            stream.read_buf(&mut request).await.expect("read the request") > 0,
            "connection ended before the last byte of the request"
        );
    }
    (stream, deadline)
}

/// Blocks the runtime until after the deadline, so that it detects the response and the timeout in the same tick.
fn block_until_after(deadline: Instant) {
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()) + Duration::from_millis(2));
}

/// The request announces the deadline, after which the receiver treats the call as abandoned. A response after the
/// deadline does not count even if the sender's timer has not fired yet, because both occur in the same tick.
#[tokio::test]
async fn a_response_after_the_deadline_does_not_count() {
    let test = async {
        for status in ["200 OK", "500 No", "429 No\r\nX-Backoff-Ms: 250"] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (stream, deadline) = start_and_read_call(&outbound, &listener).await;
            block_until_after(deadline);
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            assert_eq!(
                stream.try_write(response.as_bytes()).expect("write to the connection"),
                response.len()
            );
            let call_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(call_outcome, Outcome::Timeout.into(), "{status}");
            assert_eq!(outbound.active_backoffs().is_empty(), !status.contains("Backoff"), "{status}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A rejection counts only if it is complete. The sender waits for the rest of an incomplete rejection until the call's
/// deadline at the latest.
#[tokio::test]
async fn an_incomplete_rejection_ends_its_call_at_the_deadline() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let (mut stream, deadline) = start_and_read_call(&outbound, &listener).await;
        // The timeout of the response body alone, half a second, would end long after the deadline.
        tokio::time::sleep_until(deadline - Duration::from_millis(50)).await;
        let half_of_rejection = b"HTTP/1.1 503 No\r\nContent-Length: 8\r\n\r\nhalf";
        stream.write_all(half_of_rejection).await.expect("write to the connection");
        let call_outcome = next_call_outcome(&mut inputs).await;
        assert_eq!(call_outcome, Outcome::Error.into());
        assert!(deadline.elapsed() < Duration::from_millis(300), "{:?} late", deadline.elapsed());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A complete status line with status 200 proves the delivery of a message; part of a status line does not.
#[tokio::test]
async fn only_a_complete_ok_status_line_counts_as_delivered() {
    let test = async {
        for (written, outcome) in [
            ("HTTP/1.1 200", Outcome::Error),
            ("HTTP/1.1 200 OK", Outcome::Error),
            ("HTTP/1.1 200 OK\r\n", Outcome::Ok),
            ("HTTP/1.1 200\r\nContent-Le", Outcome::Ok),
            ("HTTP/1.1 2000 OK\r\n", Outcome::Error),
        ] {
            let (outbound, listener, mut inputs) = set_up().await;
            let (mut stream, _) = start_and_read_call(&outbound, &listener).await;
            stream.write_all(written.as_bytes()).await.expect("write to the connection");
            drop(stream);
            let call_outcome = next_call_outcome(&mut inputs).await;
            assert_eq!(call_outcome, outcome.into(), "{written:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
