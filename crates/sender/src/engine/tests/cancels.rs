//! A call's cancel against its outcome.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;

/// The list's only receiver, played by the test.
pub(super) async fn receiver(engine: &mut Engine) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let member = serde_json::json!({"id": "r1", "host_port": addr, "cell": 7, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 2, "complete": true, "members": [member]});
    engine.batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
    listener
}

/// Hands a message in and reads its call to the last byte.
async fn call(engine: &mut Engine, listener: &TcpListener, number: u64) -> TcpStream {
    let (input, answered) = submission(number, &format!("m{number}"));
    engine.batch(vec![input]);
    assert_eq!(answered.await, Ok(Answer::Accepted));
    let (mut stream, _) = soon(listener.accept()).await.expect("a connection");
    request(&mut stream).await;
    stream
}

/// Reads a call to the last byte.
pub(super) async fn request(stream: &mut TcpStream) -> Vec<u8> {
    let mut request = Vec::new();
    while !request.ends_with(b"text") {
        assert!(soon(stream.read_buf(&mut request)).await.expect("a request") > 0, "it ends too early");
    }
    request
}

pub(super) async fn soon<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(20), future).await.expect("in time")
}

pub(super) async fn until(mut holds: impl FnMut() -> bool) {
    soon(async {
        while !holds() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// What has come for the engine, as one batch.
pub(super) fn batch(engine: &mut Engine) {
    let mut inputs = Vec::new();
    while let Ok(input) = engine.inputs.try_recv() {
        inputs.push(input);
    }
    engine.batch(inputs);
}

fn cancel(engine: &mut Engine) {
    let id = *engine.calls.keys().next().expect("a call is out");
    let attempt = engine.held[&id].attempts - 1;
    engine.carry_out(Instant::now(), Vec::new(), Vec::new(), vec![Action::Cancel { id, attempt }]);
}

/// The answer is there when the cancel comes: the message is delivered, for the engine and for the module, and
/// does not go again.
#[tokio::test]
async fn a_delivery_that_crosses_a_cancel_ends_the_message() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let before = engine.sender.remembered();
        let mut stream = call(&mut engine, &listener, 1).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
        until(|| !engine.inputs.is_empty()).await;
        cancel(&mut engine);
        for _ in 0..3 {
            batch(&mut engine);
        }
        assert!(engine.held.is_empty() && !engine.store.contains(&"m1".into()), "it is still owed its end");
        assert!(engine.calls.is_empty(), "it went again");
        assert_eq!(engine.sender.remembered(), before, "the module still has it");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An answer that waits for room among the engine's inputs when its call is cancelled is not lost: it says that
/// the call never ran.
#[tokio::test]
async fn a_refusal_that_waits_for_the_engine_counts_though_its_call_is_cancelled() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let mut stream = call(&mut engine, &listener, 1).await;
        while inputs.try_send(Input::PeerCallsInFlight(0)).is_ok() {}
        let answer = b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 30000\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("writable");
        // The wait is noted before the outcome is told.
        until(|| !engine.outbound.active_backoffs().is_empty()).await;
        cancel(&mut engine);
        until(|| {
            batch(&mut engine);
            engine.calls.is_empty()
        })
        .await;
        batch(&mut engine);
        let ran: Vec<_> = engine.store.pending_messages().map(|m| m.possibly_executed.is_some()).collect();
        assert_eq!(ran, [false]);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A call that is cancelled with its last byte written may have run; its connection is closed.
#[tokio::test]
async fn a_call_that_is_cancelled_unanswered_may_have_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let mut stream = call(&mut engine, &listener, 1).await;
        cancel(&mut engine);
        until(|| {
            batch(&mut engine);
            engine.store.pending_messages().all(|m| m.possibly_executed.is_some())
        })
        .await;
        // Its end, by a reset or not.
        assert!(matches!(soon(stream.read(&mut [0; 1])).await, Ok(0) | Err(_)));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
