//! Cancellations of calls that cross their outcomes.

use std::time::Duration;

use rudderspindle_policy::interface::Action;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::super::Engine;
use super::{engine, submission};
use crate::engine::intake::Intake;
use crate::event::{Input, SubmissionResponse};

/// Creates a listener and makes it the only receiver in the list.
pub(super) async fn receiver(engine: &mut Engine) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let member = serde_json::json!({"id": "r1", "host_port": addr, "cell": 7, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 2, "complete": true, "members": [member]});
    engine.run_batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
    listener
}

/// Submits a message and reads its call to the last byte.
async fn call(engine: &mut Engine, listener: &TcpListener, number: u64) -> TcpStream {
    let (input, answered) = submission(number, &format!("m{number}"));
    engine.run_batch(vec![input]);
    assert_eq!(answered.await, Ok(SubmissionResponse::Accepted));
    let (mut stream, _) = with_timeout(listener.accept()).await.expect("a connection");
    request(&mut stream).await;
    stream
}

/// Reads a call to the last byte.
pub(super) async fn request(stream: &mut TcpStream) -> Vec<u8> {
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(
            with_timeout(stream.read_buf(&mut request)).await.expect("a request") > 0,
            "it ends too early"
        );
    }
    request
}

pub(super) async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(20), future).await.expect("in time")
}

pub(super) async fn until(mut holds: impl FnMut() -> bool) {
    with_timeout(async {
        while !holds() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// Runs a batch with the inputs that have arrived.
pub(super) fn run_batch(engine: &mut Engine) {
    let mut inputs = Vec::new();
    while let Ok(input) = engine.io.inputs.try_recv() {
        inputs.push(input);
    }
    engine.run_batch(inputs);
}

fn cancel(engine: &mut Engine) {
    let id = engine.calls.ids().next().expect("a call is out");
    let attempt = engine.tracked.get(id).expect("it is tracked").attempts - 1;
    engine.carry_out(Instant::now(), Intake::default(), vec![Action::Cancel { id, attempt }]);
}

/// The response has arrived when the call is cancelled: the message is delivered and is not sent again.
#[tokio::test]
async fn a_delivery_that_crosses_a_cancellation_completes_the_message() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let before = engine.policy.state_entry_count();
        let mut stream = call(&mut engine, &listener, 1).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
        until(|| !engine.io.inputs.is_empty()).await;
        cancel(&mut engine);
        for _ in 0..3 {
            run_batch(&mut engine);
        }
        assert!(engine.tracked.is_empty() && !engine.store.contains(&"m1".into()), "it is not complete");
        assert!(engine.calls.is_empty(), "it was sent again");
        assert_eq!(engine.policy.state_entry_count(), before, "the policy still has it");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An outcome that waits for the engine's queue when its call is cancelled is not lost: the call was not executed.
#[tokio::test]
async fn a_rejection_that_waits_for_the_engine_counts_though_its_call_is_cancelled() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let mut stream = call(&mut engine, &listener, 1).await;
        while inputs.try_send(Input::PeerCallsInFlight(0)).is_ok() {}
        let answer = b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 30000\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("writable");
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

/// The request was written completely; the connection is closed.
#[tokio::test]
async fn a_call_that_is_cancelled_without_a_response_may_have_been_executed() {
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
        // The connection ends, by a reset or not.
        assert!(matches!(with_timeout(stream.read(&mut [0; 1])).await, Ok(0) | Err(_)));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
