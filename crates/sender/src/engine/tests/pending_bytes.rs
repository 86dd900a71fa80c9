//! The maximum size of accepted messages.

use rudderspindle_policy::interface::Outcome;

use super::{engine, submission};
use crate::event::{Input, SubmissionResponse};

/// Guards against a process that is killed for its memory: the size of accepted messages was limited by the disk only.
#[tokio::test(start_paused = true)]
async fn a_message_beyond_the_memory_for_pending_messages_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let (input, response) = submission(1, "m1");
        engine.run_batch(vec![input]);
        assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
        // There is space for one message of this size.
        engine.max_pending_bytes = Some(engine.store.reserved_bytes());
        let (input, response) = submission(2, "m2");
        engine.run_batch(vec![input]);
        assert_eq!(response.await, Ok(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER));
        let id = engine.calls.message_handles().next().expect("a call in flight");
        engine.run_batch(vec![Input::AttemptFinished { id, attempt: 0, outcome: Outcome::Ok.into() }]);
        let (input, response) = submission(3, "m3");
        engine.run_batch(vec![input]);
        assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
