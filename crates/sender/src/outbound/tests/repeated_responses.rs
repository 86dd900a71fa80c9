//! A receiver that writes a response twice. The second copy must not be taken for the response to the next call,
//! whenever it arrives.

use std::time::Duration;

use rudderspindle_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::{call, next_call_outcome, read_request, respond, set_up};
use crate::event::Call;

/// Time after a response at which its copy is written.
const COPY_DELAY: Duration = Duration::from_millis(10);
/// Time after which a connection is used again.
const REST: Duration = Duration::from_millis(100);

/// When the copy of a response is written.
#[derive(Clone, Copy, Debug)]
enum CopyTime {
    /// Together with the response.
    WithResponse,
    /// [`COPY_DELAY`] after the response.
    BehindResponse,
    /// When the next request has been read from the same connection.
    AfterNextRequest,
}

/// The response with this status line and header lines.
fn response(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

/// Writes to a connection that the sender may have closed.
async fn write_to_open(stream: &mut TcpStream, bytes: &str) {
    let _ = stream.write_all(bytes.as_bytes()).await;
}

/// The connection of the next call: `earlier`, if the call is sent over it, or a new one.
async fn next_connection(listener: &TcpListener, earlier: TcpStream) -> (TcpStream, bool) {
    let request_on_earlier = async {
        while !matches!(earlier.peek(&mut [0; 1]).await, Ok(1)) {
            std::future::pending::<()>().await;
        }
    };
    let accepted = tokio::select! {
        accepted = listener.accept() => Some(accepted.expect("accept a connection").0),
        () = request_on_earlier => None,
    };
    match accepted {
        Some(stream) => (stream, false),
        None => (earlier, true),
    }
}

/// When the second call starts.
#[derive(Clone, Copy, Debug)]
enum NextCall {
    /// As soon as the outcome of the first one is known.
    AtOnce,
    /// After [`REST`].
    Later,
}

/// Makes a call whose response has this status and is written twice, and then a call whose response has the status
/// `second`. Returns the outcome of the second call.
async fn outcome_after_copy(first: &str, copy_time: CopyTime, next_call: NextCall, second: &str) -> Outcome {
    let (outbound, listener, mut inputs) = set_up().await;
    outbound.start_call(call());
    let (mut stream, _) = listener.accept().await.expect("accept a connection");
    read_request(&mut stream).await;
    let copy = response(first);
    stream.write_all(copy.as_bytes()).await.expect("write to the connection");
    if matches!(copy_time, CopyTime::WithResponse) {
        write_to_open(&mut stream, &copy).await;
    }
    next_call_outcome(&mut inputs).await;
    if matches!(next_call, NextCall::Later) {
        tokio::time::sleep(REST).await;
    }
    outbound.start_call(call());
    if matches!((copy_time, next_call), (CopyTime::BehindResponse, NextCall::AtOnce)) {
        tokio::time::sleep(COPY_DELAY).await;
        write_to_open(&mut stream, &copy).await;
    }
    let next = timeout(Duration::from_secs(20), next_connection(&listener, stream)).await;
    let (mut stream, same_connection) = next.expect("a request within the timeout");
    if same_connection && matches!(copy_time, CopyTime::AfterNextRequest) {
        read_request(&mut stream).await;
        stream
            .write_all(format!("{copy}{}", response(second)).as_bytes())
            .await
            .expect("write to the connection");
    } else {
        respond(&mut stream, second).await;
    }
    next_call_outcome(&mut inputs).await.outcome
}

/// Guards against a call that is sent again although it may be executed: the copy of an earlier response was the response to
/// the call that followed on its connection.
#[tokio::test]
async fn the_copy_of_a_rejection_is_not_the_response_to_the_next_call() {
    let test = async {
        for copy_time in [CopyTime::WithResponse, CopyTime::BehindResponse, CopyTime::AfterNextRequest] {
            for next_call in [NextCall::AtOnce, NextCall::Later] {
                for (first, second, expected) in [
                    ("503 No", "200 OK", Outcome::Ok),
                    ("429 No", "500 No", Outcome::Error),
                    ("500 No", "200 OK", Outcome::Ok),
                    ("504 No", "200 OK", Outcome::Ok),
                    ("410 No", "200 OK", Outcome::Ok),
                ] {
                    let outcome = outcome_after_copy(first, copy_time, next_call, second).await;
                    assert_eq!(outcome, expected, "after {first}, copy {copy_time:?}, call {next_call:?}");
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a message that is taken for delivered although its call was rejected.
#[tokio::test]
async fn the_copy_of_a_success_behind_it_is_not_the_response_to_the_next_call() {
    let test = async {
        for copy_time in [CopyTime::WithResponse, CopyTime::BehindResponse] {
            for (second, expected) in [("503 No", Outcome::Rejected), ("500 No", Outcome::Error)] {
                let outcome = outcome_after_copy("200 OK", copy_time, NextCall::AtOnce, second).await;
                assert_eq!(outcome, expected, "copy {copy_time:?}");
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The same for a copy that is written only once the next request is read, on a connection that is used again.
#[tokio::test]
async fn the_copy_of_a_success_after_the_next_request_is_not_the_response_to_it() {
    let test = async {
        for next_call in [NextCall::AtOnce, NextCall::Later] {
            let outcome = outcome_after_copy("200 OK", CopyTime::AfterNextRequest, next_call, "503 No").await;
            assert_eq!(outcome, Outcome::Rejected, "call {next_call:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against two attempts at once: a call that may be repeated is sent over a connection whose last response was a
/// rejection, and its response may be a copy of that one. The connection is closed before the outcome is reported.
#[tokio::test]
async fn an_idempotent_call_is_given_up_if_its_response_may_be_a_copy() {
    let test = async {
        let (outbound, listener, mut inputs) = set_up().await;
        let idempotent_call = || Call { idempotent: true, ..call() };
        outbound.start_call(idempotent_call());
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        respond(&mut stream, "503 No").await;
        next_call_outcome(&mut inputs).await;
        outbound.start_call(idempotent_call());
        // The request arrives on the same connection.
        respond(&mut stream, "503 No").await;
        assert_eq!(next_call_outcome(&mut inputs).await.outcome, Outcome::Rejected);
        let ended = timeout(Duration::from_secs(20), stream.read(&mut [0; 1])).await;
        assert!(matches!(ended.expect("the end of the connection"), Ok(0) | Err(_)));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
