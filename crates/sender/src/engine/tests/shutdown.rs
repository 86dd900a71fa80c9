//! Messages that wait when the shutdown no longer allows attempts.

use std::time::Duration;

use rudderspindle_journal::Status;
use tokio::time::Instant;

use super::super::shutdown::ATTEMPT_START_WINDOW;
use super::{engine, submission};
use crate::event::{Input, SubmissionResponse};

/// Time left of the message when it is submitted: it ends while calls in flight still keep the engine running.
const TIME_LEFT: Duration = Duration::from_millis(800);
/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against a final outcome that comes only from the next process: a message that the policy took for sent after
/// the window for attempts had ended got none while calls to a slow receiver kept the engine running.
#[tokio::test(start_paused = true)]
async fn a_message_whose_time_ends_during_the_shutdown_is_completed_in_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        engine.run_batch(vec![Input::Stop]);
        tokio::time::advance(ATTEMPT_START_WINDOW).await;
        let (Input::Submitted(mut submission), response) = submission(1, "m1") else {
            panic!("the input is not a submission")
        };
        let deadline = Instant::now() + TIME_LEFT;
        submission.deadline = deadline;
        engine.run_batch(vec![Input::Submitted(submission)]);
        assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
        while Instant::now() < deadline {
            assert!(engine.calls.is_empty(), "a call has started after the window");
            tokio::time::advance(BATCH_INTERVAL).await;
            engine.run_batch(Vec::new());
        }
        let notifications: Vec<_> = engine.store.pending_notifications().collect();
        assert_eq!(notifications.len(), 1, "the message has no final outcome at its deadline");
        assert_eq!(notifications[0].status, Status::Deferred(None));
        assert!(engine.tracked_messages.is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
