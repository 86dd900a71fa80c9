//! Cancellations of calls whose outcome arrives at about the same time.

use std::time::Duration;

use rudderspindle_policy::interface::Action;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::super::Engine;
use super::{engine, submission};
use crate::engine::intake::Intake;
use crate::event::{Input, SubmissionResponse};

/// Creates a listener, and makes it the only receiver in the engine's endpoint list.
pub(super) async fn receiver(engine: &mut Engine) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let member = serde_json::json!({"id": "r1", "host_port": addr, "cell": 7, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 2, "complete": true, "members": [member]});
    engine.run_batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
    listener
}

/// Submits a message, and reads the request of its call to the last byte. Returns the connection.
async fn call(engine: &mut Engine, listener: &TcpListener, number: u64) -> TcpStream {
    let (input, response) = submission(number, &format!("m{number}"));
    engine.run_batch(vec![input]);
    assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
    let (mut stream, _) = with_timeout(listener.accept()).await.expect("a connection");
    read_request(&mut stream).await;
    stream
}

/// Reads the request of a call to the last byte.
pub(super) async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(
            with_timeout(stream.read_buf(&mut request)).await.expect("a request") > 0,
            "the connection closes before the end of the request"
        );
    }
    request
}

/// Fails the test if the future does not complete within 20 s.
pub(super) async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(20), future).await.expect("the future completes within 20 s")
}

/// Yields to the other tasks until the condition holds.
pub(super) async fn until(mut condition: impl FnMut() -> bool) {
    with_timeout(async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// Runs a batch with the inputs that are in the engine's queue.
pub(super) fn run_batch(engine: &mut Engine) {
    let mut inputs = Vec::new();
    while let Ok(input) = engine.io.inputs.try_recv() {
        inputs.push(input);
    }
    engine.run_batch(inputs);
}

/// Cancels the only call in flight.
fn cancel(engine: &mut Engine) {
    let id = engine.calls.message_handles().next().expect("a call is in flight");
    let attempt = engine.tracked_messages.get(id).expect("the message is tracked").attempts - 1;
    engine.commit_batch(Instant::now(), Intake::default(), vec![Action::Cancel { id, attempt }]);
}

/// The response arrives before the call is cancelled. The message must become complete, and must not be sent again.
#[tokio::test]
async fn a_response_before_a_cancellation_completes_the_message() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let entry_count_before = engine.policy.state_entry_count();
        let mut stream = call(&mut engine, &listener, 1).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
        until(|| !engine.io.inputs.is_empty()).await;
        cancel(&mut engine);
        for _ in 0..3 {
            run_batch(&mut engine);
        }
        assert!(
            engine.tracked_messages.is_empty() && !engine.store.contains(&"m1".into()),
            "the message is not complete"
        );
        assert!(engine.calls.is_empty(), "the message was sent again");
        assert_eq!(engine.policy.state_entry_count(), entry_count_before, "entries of the policy's state");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The outcome waits for space in the engine's queue when its call is cancelled. If the outcome were lost, the attempt
/// would count as possibly executed.
#[tokio::test]
async fn a_rejection_waiting_for_the_queue_survives_a_cancellation() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let mut stream = call(&mut engine, &listener, 1).await;
        while inputs.try_send(Input::PeerProcessCallsInFlight(0)).is_ok() {}
        let response_bytes = b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 30000\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response_bytes).await.expect("writable");
        // The backoff is applied before the outcome is sent.
        until(|| !engine.io.outbound.active_backoffs().is_empty()).await;
        cancel(&mut engine);
        until(|| {
            run_batch(&mut engine);
            engine.calls.is_empty()
        })
        .await;
        run_batch(&mut engine);
        let possibly_executed: Vec<_> =
            engine.store.pending_messages().map(|m| m.possibly_executed.is_some()).collect();
        assert_eq!(possibly_executed, [false]);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The request of the call is written completely before the call is cancelled, so that the receiver may have executed
/// it.
#[tokio::test]
async fn a_call_cancelled_without_a_response_is_possibly_executed() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let mut stream = call(&mut engine, &listener, 1).await;
        cancel(&mut engine);
        until(|| {
            run_batch(&mut engine);
            engine.store.pending_messages().all(|m| m.possibly_executed.is_some())
        })
        .await;
        // The connection is closed, with or without a reset.
        assert!(matches!(with_timeout(stream.read(&mut [0; 1])).await, Ok(0) | Err(_)));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
