//! Submissions whose message id belongs to a message that was completed a short time ago.

use std::path::Path;
use std::time::Duration;

use rudderspindle_policy::interface::Outcome;

use super::super::Engine;
use super::{engine, submission};
use crate::event::{CallOutcome, Input, SubmissionId, SubmissionResponse};

/// The deadline of the engine's only class, which is how long it knows the id of a completed message.
const RETENTION: Duration = Duration::from_secs(9);

/// How a message is completed after its first attempt has started.
#[derive(Clone, Copy, Debug)]
enum End {
    Delivered,
    /// The receiver reports that the message is over.
    Over,
    /// The message's only client disconnects.
    Withdrawn,
}

/// Submits the message `m1` and completes it.
async fn complete_message(engine: &mut Engine, end: End) {
    let (input, response) = submission(1, "m1");
    engine.run_batch(vec![input]);
    assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
    let id = engine.calls.message_handles().next().expect("a call in flight");
    let outcome = match end {
        End::Delivered => CallOutcome::from(Outcome::Ok),
        End::Over => CallOutcome { completed: true, ..Outcome::NotSent.into() },
        End::Withdrawn => {
            engine.run_batch(vec![Input::Withdrawn(SubmissionId(1))]);
            Outcome::Cancelled.into()
        }
    };
    engine.run_batch(vec![Input::AttemptFinished { id, attempt: 0, outcome }]);
    assert!(engine.tracked_messages.is_empty() && engine.calls.is_empty());
}

/// Submits the message `m1` again. Returns the response, and whether the message was accepted as a new one.
async fn submit_again(engine: &mut Engine) -> (SubmissionResponse, bool) {
    let (input, response) = submission(2, "m1");
    engine.run_batch(vec![input]);
    (response.await.expect("a response"), engine.store.contains(&"m1".into()))
}

async fn response_to_resubmission(folder: &Path, end: End) -> SubmissionResponse {
    let (mut engine, _inputs) = engine(folder);
    complete_message(&mut engine, end).await;
    let (response, accepted_as_new) = submit_again(&mut engine).await;
    assert!(!accepted_as_new && engine.calls.is_empty(), "{end:?}: the id is sent a second time");
    response
}

/// Guards against a second execution of an id: a client that submitted the id of a message again after its delivery had
/// it accepted as a new message.
#[tokio::test(start_paused = true)]
async fn the_id_of_a_message_that_may_have_run_is_not_accepted_as_a_new_message() {
    let cases = [
        (End::Delivered, SubmissionResponse::Accepted),
        (End::Over, SubmissionResponse::Failed),
        (End::Withdrawn, SubmissionResponse::Failed),
    ];
    let test = async {
        for (end, expected) in cases {
            let folder = tempfile::tempdir().expect("a folder");
            assert_eq!(response_to_resubmission(folder.path(), end).await, expected, "{end:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The same after a restart, where the journal still has the records of the delivered message.
#[tokio::test(start_paused = true)]
async fn a_restart_keeps_the_id_of_a_delivered_message() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut before, _inputs) = engine(folder.path());
        complete_message(&mut before, End::Delivered).await;
        drop(before);
        let (mut after, _inputs) = engine(folder.path());
        assert_eq!(submit_again(&mut after).await, (SubmissionResponse::Failed, false));
        assert!(after.calls.is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn an_id_is_accepted_again_after_the_longest_deadline() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        complete_message(&mut engine, End::Delivered).await;
        tokio::time::advance(RETENTION).await;
        assert_eq!(submit_again(&mut engine).await, (SubmissionResponse::Accepted, true));
        assert_eq!(engine.completed_messages.len(), 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
