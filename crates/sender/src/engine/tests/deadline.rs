//! Responses just before a message's deadline.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::cancels::{read_request, receiver, run_batch, until, with_timeout};
use super::{engine, submission};
use crate::event::{Input, SubmissionResponse};

/// The client's deadline is slightly earlier than the sender's, because it counts from when the client sent the
/// message. A response between the two deadlines is late for the client, so the platform must be notified.
#[tokio::test]
async fn a_response_just_before_the_deadline_counts_as_undelivered() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let listener = receiver(&mut engine).await;
        let (input, response) = submission(1, "m1");
        let Input::Submitted(mut message) = input else { panic!("the input is not a submission") };
        let deadline = Instant::now() + Duration::from_millis(500);
        message.deadline = deadline;
        engine.run_batch(vec![Input::Submitted(message)]);
        assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
        let (mut stream, _) = with_timeout(listener.accept()).await.expect("a connection");
        let text = String::from_utf8(read_request(&mut stream).await).expect("text");
        let remaining =
            text.lines().find_map(|line| line.strip_prefix("x-remaining: ")).expect("an X-Remaining header");
        assert!(
            remaining.parse::<f64>().is_ok_and(|s| s <= 0.495),
            "X-Remaining = {remaining} s: must be at most 0.495 s of the 0.5 s to the deadline"
        );
        // The response is sent between the client's deadline and the sender's.
        tokio::time::sleep_until(deadline - Duration::from_millis(2)).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        until(|| {
            run_batch(&mut engine);
            engine.tracked_messages.is_empty()
        })
        .await;
        let pending: Vec<_> =
            engine.store.pending_notifications().map(|notification| notification.message_id).collect();
        assert_eq!(pending, ["m1".into()]);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
