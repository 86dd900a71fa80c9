//! Responses and calls are sent only after the batch is written to the journal. If the write fails, submissions are
//! refused and no call starts.

use std::time::Duration;

use rudderspindle_journal::Store;
use rudderspindle_policy::interface::{
    Action, AttemptResult, Event, MessageHandle, Millis, Outcome, RouteId,
};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::Instant;

use super::super::Engine;
use super::super::intake::Intake;
use super::super::tests::{engine, submission};
use super::JOURNAL_RETRY_DELAY;
use crate::event::{Input, SubmissionResponse};

/// Disk budget of a journal, in bytes.
const DISK_BUDGET: u64 = 3_000_000;

/// Duration of a backoff, in milliseconds.
const BACKOFF_MS: Millis = 100.0;

/// Admits a submission without passing its message to the policy.
fn admit(engine: &mut Engine, input: Input) -> (Intake, MessageHandle) {
    let Input::Submitted(submission) = input else { panic!("the input is not a submission") };
    let mut intake = Intake::default();
    let message = engine.admit(submission, Instant::now(), &mut intake).expect("the submission is admitted");
    (intake, message.id)
}

/// The policy's action that starts an attempt of a message.
fn send(id: MessageHandle) -> Action {
    Action::Send { id, route: RouteId(0), timeout: 1_000.0, start_within: f64::INFINITY }
}

/// The disk budget of the journal has no space for the batch.
#[tokio::test]
async fn a_failed_write_refuses_submissions_and_starts_no_attempt() {
    let folder = tempfile::tempdir().expect("a folder");
    let full_journal_folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let (input, mut response) = submission(1, "m1");
        let (intake, id) = admit(&mut engine, input);
        assert_eq!(response.try_recv(), Err(TryRecvError::Empty));
        // Each write to a journal whose disk budget is 0 bytes fails.
        engine.store = Store::open(full_journal_folder.path(), 0).expect("a journal");
        engine.commit_batch(Instant::now(), intake, vec![send(id)]);
        assert_eq!(response.try_recv(), Ok(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER));
        assert!(engine.calls.is_empty() && engine.tracked_messages.is_empty());
        assert!(!engine.store.contains(&"m1".into()));
        let [
            Event::ClientDisconnected(dropped),
            Event::Outcome(AttemptResult { id: finished, outcome: Outcome::NotStarted, .. }),
        ] = engine.next_batch_events[..]
        else {
            panic!(
                "next batch events = {:?}: must be the dropped message and its unsent attempt",
                engine.next_batch_events
            )
        };
        assert_eq!((dropped, finished), (id, id));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The message and its attempt are in the journal when the response is sent and the call starts.
#[tokio::test]
async fn a_written_message_is_accepted_and_its_attempt_starts() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let (input, mut response) = submission(1, "m1");
        let (intake, id) = admit(&mut engine, input);
        engine.commit_batch(Instant::now(), intake, vec![send(id)]);
        assert_eq!(response.try_recv(), Ok(SubmissionResponse::Accepted));
        assert!(engine.calls.contains(id));
        let journal_message =
            engine.store.pending_message(&"m1".into()).expect("the message is in the journal");
        assert_eq!(journal_message.attempts, 1);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The client of a message that completes in the batch that admits it receives the final status as the response; no
/// notification is sent.
#[tokio::test]
async fn a_message_completed_by_its_own_batch_is_not_recorded() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let cases = [
            (SubmissionResponse::Failed, None),
            (SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER, Some(0.0)),
            (SubmissionResponse::Refused { retry_after: 250.0 }, Some(250.0)),
        ];
        let (mut engine, _inputs) = engine(folder.path());
        for (number, (expected, retry_after)) in cases.into_iter().enumerate() {
            let (input, mut response) = submission(number as u64, "m1");
            let (intake, id) = admit(&mut engine, input);
            let action = match retry_after {
                None => Action::Fail { id },
                Some(retry_after) => Action::Refuse { id, retry_after },
            };
            engine.commit_batch(Instant::now(), intake, vec![action]);
            assert_eq!(response.try_recv(), Ok(expected));
            assert!(engine.tracked_messages.is_empty() && !engine.store.contains(&"m1".into()));
            assert!(engine.io.notifications.is_idle());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a message that was given back and sent later: the platform was notified of a completion that could not be
/// written, and the next process found the message pending in the journal.
#[tokio::test]
async fn a_notification_is_sent_only_once_its_completion_is_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        // The engine's journal is that of a successor, whose disk budget can be changed.
        let _owner = Store::open(folder.path(), DISK_BUDGET).expect("a journal");
        let (mut engine, _inputs) = engine(folder.path());
        let (input, _response) = submission(1, "m1");
        let (intake, id) = admit(&mut engine, input);
        engine.commit_batch(Instant::now(), intake, Vec::new());
        engine.store.set_successor_part(0);
        let refuse = Action::Refuse { id, retry_after: 0.0 };
        engine.commit_batch(Instant::now(), Intake::default(), vec![refuse]);
        assert!(engine.io.notifications.is_idle(), "the completion is not written");
        assert!(engine.next_batch_due() <= Instant::now() + JOURNAL_RETRY_DELAY);
        engine.store.set_successor_part(DISK_BUDGET);
        engine.run_batch(Vec::new());
        assert!(!engine.io.notifications.is_idle(), "the completion is written");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against a message that is given back without a call: each write that failed cost it one of its attempts.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_cannot_be_written_does_not_count() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let _owner = Store::open(folder.path(), DISK_BUDGET).expect("a journal");
        let (mut engine, _inputs) = engine(folder.path());
        // The backoff delays the first attempt until the writes fail.
        let backoff = Input::PeerProcessBackoff { destination: 7, receiver: None, wait: BACKOFF_MS };
        let (input, response) = submission(1, "m1");
        engine.run_batch(vec![backoff, input]);
        assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
        engine.store.set_successor_part(0);
        let until = Instant::now() + Duration::from_millis(BACKOFF_MS as u64) + JOURNAL_RETRY_DELAY * 20;
        while Instant::now() < until {
            tokio::time::advance(Duration::from_millis(1)).await;
            engine.run_batch(Vec::new());
            assert!(engine.calls.is_empty() && engine.tracked_messages.len() == 1);
        }
        engine.store.set_successor_part(DISK_BUDGET);
        tokio::time::advance(JOURNAL_RETRY_DELAY).await;
        while engine.calls.is_empty() {
            tokio::time::advance(Duration::from_millis(1)).await;
            engine.run_batch(Vec::new());
            assert!(Instant::now() < until + Duration::from_secs(1), "no attempt has started");
        }
        assert_eq!(engine.store.pending_message(&"m1".into()).map(|message| message.attempts), Some(1));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
