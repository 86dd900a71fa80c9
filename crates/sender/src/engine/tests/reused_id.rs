//! Submissions of a different message under the id of a message that is known already.

use std::path::Path;

use bytes::Bytes;
use rudderspindle_policy::interface::{DestinationId, Outcome};

use super::super::Engine;
use super::{engine, submission};
use crate::event::{Input, Submission, SubmissionId, SubmissionResponse};

/// In what the second message differs from the first one.
#[derive(Clone, Copy, Debug)]
enum Difference {
    Body,
    Destination,
    IdempotencyKey,
    Tenant,
}

const DIFFERENCES: [Difference; 4] =
    [Difference::Body, Difference::Destination, Difference::IdempotencyKey, Difference::Tenant];

/// What has become of the first message when the second one is submitted.
#[derive(Clone, Copy, Debug)]
enum FirstMessage {
    InFlight,
    Delivered,
    Withdrawn,
    /// A later process has recovered the message from the journal.
    Recovered,
}

const FIRST_MESSAGES: [FirstMessage; 4] =
    [FirstMessage::InFlight, FirstMessage::Delivered, FirstMessage::Withdrawn, FirstMessage::Recovered];

fn make_different(submission: &mut Submission, difference: Difference) {
    match difference {
        Difference::Body => submission.body = Bytes::from_static(b"tex2"),
        Difference::Destination => submission.destination = DestinationId(8),
        Difference::IdempotencyKey => submission.idempotency_key = Some(Bytes::from_static(b"key")),
        Difference::Tenant => submission.tenant = 1,
    }
}

/// An engine with a receiver for destination 8 as well as for 7.
fn engine_of_two_destinations(folder: &Path) -> Engine {
    let (mut engine, _inputs) = engine(folder);
    let member = serde_json::json!({"id": "r2", "host_port": "127.0.0.1:2", "cell": 8, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 2, "complete": false, "members": [member]});
    engine.run_batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
    engine
}

/// Submits the message `m1` to destination 7.
async fn submit_first(folder: &Path, first: FirstMessage) -> Engine {
    let mut engine = engine_of_two_destinations(folder);
    let (input, response) = submission(1, "m1");
    engine.run_batch(vec![input]);
    assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
    let id = engine.calls.message_handles().next().expect("a call in flight");
    match first {
        FirstMessage::InFlight => {}
        FirstMessage::Delivered => {
            let outcome = Outcome::Ok.into();
            engine.run_batch(vec![Input::AttemptFinished { id, attempt: 0, outcome }]);
        }
        FirstMessage::Withdrawn => engine.run_batch(vec![Input::Withdrawn(SubmissionId(1))]),
        FirstMessage::Recovered => {
            drop(engine);
            return engine_of_two_destinations(folder);
        }
    }
    engine
}

/// Guards against a lost message: a client was told 202 for a message that was never sent, because another client had
/// submitted a different message with the same id.
#[tokio::test(start_paused = true)]
async fn a_different_message_with_a_known_id_is_refused() {
    let test = async {
        for (first, difference) in
            FIRST_MESSAGES.into_iter().flat_map(|first| DIFFERENCES.map(|d| (first, d)))
        {
            let folder = tempfile::tempdir().expect("a folder");
            let mut engine = submit_first(folder.path(), first).await;
            let (mut input, response) = submission(2, "m1");
            let Input::Submitted(second) = &mut input else { panic!("a submission") };
            make_different(second, difference);
            engine.run_batch(vec![input]);
            let expected = Ok(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER);
            assert_eq!(response.await, expected, "first {first:?}, different {difference:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The journal of a message that may have run keeps the id alone, so that a later process answers any message with this id
/// as it answers the same one.
#[tokio::test(start_paused = true)]
async fn a_different_message_is_not_accepted_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        drop(submit_first(folder.path(), FirstMessage::Delivered).await);
        let mut engine = engine_of_two_destinations(folder.path());
        let (mut input, response) = submission(2, "m1");
        let Input::Submitted(second) = &mut input else { panic!("a submission") };
        make_different(second, Difference::Body);
        engine.run_batch(vec![input]);
        assert_eq!(response.await, Ok(SubmissionResponse::Failed));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
