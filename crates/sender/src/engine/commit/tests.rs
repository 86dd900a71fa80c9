//! Responses and calls are sent after the write, and not if it fails.

use rudderspindle_journal::Store;
use rudderspindle_policy::interface::{Action, AttemptResult, Event, MessageHandle, Outcome, RouteId};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::Instant;

use super::super::Engine;
use super::super::intake::Intake;
use super::super::tests::{engine, submission};
use crate::event::{Input, SubmissionResponse};

/// Admits a submission, without deciding about it.
fn admit(engine: &mut Engine, input: Input) -> (Intake, MessageHandle) {
    let Input::Submitted(submission) = input else { panic!("no submission") };
    let mut intake = Intake::default();
    let message = engine.admit(submission, Instant::now(), &mut intake).expect("it is admitted");
    (intake, message.id)
}

fn send(id: MessageHandle) -> Action {
    Action::Send { id, route: RouteId(0), timeout: 1_000.0, start_within: f64::INFINITY }
}

#[tokio::test]
async fn a_batch_that_cannot_be_written_is_refused_and_none_of_its_attempts_starts() {
    let folder = tempfile::tempdir().expect("a folder");
    let full_disk = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let (input, mut answered) = submission(1, "m1");
        let (intake, id) = admit(&mut engine, input);
        assert_eq!(answered.try_recv(), Err(TryRecvError::Empty));
        engine.store = Store::open(full_disk.path(), 0).expect("a journal");
        engine.carry_out(Instant::now(), intake, vec![send(id)]);
        assert_eq!(answered.try_recv(), Ok(SubmissionResponse::REFUSED));
        assert!(engine.calls.is_empty() && engine.tracked.is_empty());
        assert!(!engine.store.contains(&"m1".into()));
        let [
            Event::ClientDisconnected(dropped),
            Event::Outcome(AttemptResult { id: completed, outcome: Outcome::NotSent, .. }),
        ] = engine.next_batch_events[..]
        else {
            panic!("the policy's events are {:?}", engine.next_batch_events)
        };
        assert_eq!((dropped, completed), (id, id));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_message_is_accepted_and_its_attempt_starts_once_both_are_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        let (input, mut answered) = submission(1, "m1");
        let (intake, id) = admit(&mut engine, input);
        engine.carry_out(Instant::now(), intake, vec![send(id)]);
        assert_eq!(answered.try_recv(), Ok(SubmissionResponse::Accepted));
        assert!(engine.calls.contains(id));
        let recorded = engine.store.pending_message(&"m1".into()).expect("it is on record");
        assert_eq!(recorded.attempts, 1);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_message_that_its_own_batch_completes_is_answered_and_never_recorded() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let cases = [
            (SubmissionResponse::Failed, None),
            (SubmissionResponse::REFUSED, Some(0.0)),
            (SubmissionResponse::Refused { retry_after: 250.0 }, Some(250.0)),
        ];
        let (mut engine, _inputs) = engine(folder.path());
        for (number, (expected, retry_after)) in cases.into_iter().enumerate() {
            let (input, mut answered) = submission(number as u64, "m1");
            let (intake, id) = admit(&mut engine, input);
            let action = match retry_after {
                None => Action::Fail { id },
                Some(retry_after) => Action::Refuse { id, retry_after },
            };
            engine.carry_out(Instant::now(), intake, vec![action]);
            assert_eq!(answered.try_recv(), Ok(expected));
            assert!(engine.tracked.is_empty() && !engine.store.contains(&"m1".into()));
            assert!(engine.io.notifications.is_idle());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
