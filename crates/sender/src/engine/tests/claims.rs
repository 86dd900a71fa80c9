//! Two processes of a sender that accept messages at the same time, connected as during an upgrade.

use std::path::Path;

use bytes::Bytes;
use rudderspindle_policy::interface::Outcome;
use tokio::sync::{mpsc, oneshot};

use super::super::Engine;
use super::super::id_claims::CLAIM_TIMEOUT;
use super::{engine, submission};
use crate::event::{CallOutcome, Input, SubmissionId, SubmissionResponse};
use crate::handover::HandoverMessage;

const REFUSED: Result<SubmissionResponse, oneshot::error::RecvError> =
    Ok(SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER);
const ACCEPTED: Result<SubmissionResponse, oneshot::error::RecvError> = Ok(SubmissionResponse::Accepted);

/// One of the two processes, with the messages that it sends to the other one.
struct Process {
    engine: Engine,
    outgoing: mpsc::Receiver<HandoverMessage>,
}

impl Process {
    /// Starts a process that claims the ids of new messages. The first process in a folder owns the journal.
    fn start(folder: &Path) -> Self {
        let (mut engine, _inputs) = engine(folder);
        let (sender, outgoing) = mpsc::channel(64);
        engine.io.peer_process.connect(sender);
        engine.run_batch(vec![Input::SuccessorAcceptsMessages]);
        Self { engine, outgoing }
    }

    fn submit(&mut self, number: u64, message_id: &str) -> oneshot::Receiver<SubmissionResponse> {
        let (input, response) = submission(number, message_id);
        self.engine.run_batch(vec![input]);
        response
    }

    /// Passes the messages that were sent so far to the other process.
    fn deliver_to(&mut self, other: &mut Self) {
        while let Ok(message) = self.outgoing.try_recv() {
            other.engine.run_batch(message.into_input().into_iter().collect());
        }
    }

    fn end_first_call(&mut self, outcome: CallOutcome) {
        let id = self.engine.calls.message_handles().next().expect("a call in flight");
        self.engine.run_batch(vec![Input::AttemptFinished { id, attempt: 0, outcome }]);
    }
}

/// Starts the owner of the journal and its successor.
fn start_both(folder: &Path) -> (Process, Process) {
    let owner = Process::start(folder);
    let successor = Process::start(folder);
    assert!(owner.engine.store.is_owner() && !successor.engine.store.is_owner());
    (owner, successor)
}

/// Submits a message to `first`, which claims its id.
async fn accept_at(first: &mut Process, second: &mut Process, message_id: &str) {
    let response = first.submit(1, message_id);
    first.deliver_to(second);
    second.deliver_to(first);
    assert_eq!(response.await, ACCEPTED);
}

/// Guards against a message that is sent twice at once: a process accepted an id that the other one had in flight.
#[tokio::test(start_paused = true)]
async fn an_id_in_flight_at_one_process_is_refused_by_the_other_one() {
    let test = async {
        for owner_first in [true, false] {
            let folder = tempfile::tempdir().expect("a folder");
            let (owner, successor) = start_both(folder.path());
            let (mut first, mut second) = if owner_first { (owner, successor) } else { (successor, owner) };
            accept_at(&mut first, &mut second, "m1").await;
            let response = second.submit(2, "m1");
            second.deliver_to(&mut first);
            first.deliver_to(&mut second);
            assert_eq!(response.await, REFUSED, "owner first: {owner_first}");
            assert!(second.engine.calls.is_empty() && second.engine.id_claims.len() == 0);
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn the_owner_gets_an_id_that_both_claim_at_the_same_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut owner, mut successor) = start_both(folder.path());
        let responses = (owner.submit(1, "m1"), successor.submit(2, "m1"));
        owner.deliver_to(&mut successor);
        successor.deliver_to(&mut owner);
        owner.deliver_to(&mut successor);
        assert_eq!((responses.0.await, responses.1.await), (ACCEPTED, REFUSED));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn the_id_of_a_message_that_ended_at_the_other_process_is_answered_from_there() {
    let over = CallOutcome { completed: true, ..Outcome::NotSent.into() };
    let cases = [(Outcome::Ok.into(), SubmissionResponse::Accepted), (over, SubmissionResponse::Failed)];
    let test = async {
        for (outcome, expected) in cases {
            let folder = tempfile::tempdir().expect("a folder");
            let (mut owner, mut successor) = start_both(folder.path());
            accept_at(&mut owner, &mut successor, "m1").await;
            owner.end_first_call(outcome);
            let same = successor.submit(2, "m1");
            successor.deliver_to(&mut owner);
            owner.deliver_to(&mut successor);
            assert_eq!(same.await, Ok(expected));
            let (mut input, different) = submission(3, "m1");
            let Input::Submitted(third) = &mut input else { panic!("a submission") };
            third.body = Bytes::from_static(b"tex2");
            successor.engine.run_batch(vec![input]);
            successor.deliver_to(&mut owner);
            owner.deliver_to(&mut successor);
            assert_eq!(different.await, REFUSED);
            assert!(successor.engine.calls.is_empty());
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A client that leaves while its submission waits has handed in nothing.
#[tokio::test(start_paused = true)]
async fn a_submission_without_a_client_is_not_accepted_after_its_claim() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut owner, mut successor) = start_both(folder.path());
        drop(successor.submit(1, "m1"));
        successor.engine.run_batch(vec![Input::Withdrawn(SubmissionId(1))]);
        successor.deliver_to(&mut owner);
        owner.deliver_to(&mut successor);
        assert!(successor.engine.tracked_messages.is_empty() && successor.engine.id_claims.len() == 0);
        accept_at(&mut owner, &mut successor, "m1").await;
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_submission_whose_claim_is_not_answered_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut owner, mut successor) = start_both(folder.path());
        let response = successor.submit(1, "m1");
        assert_eq!(successor.submit(2, "m1").await, REFUSED);
        tokio::time::advance(CLAIM_TIMEOUT).await;
        successor.engine.run_batch(Vec::new());
        assert_eq!(response.await, REFUSED);
        successor.deliver_to(&mut owner);
        owner.deliver_to(&mut successor);
        assert!(successor.engine.tracked_messages.is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Until the takeover, the successor does not know which ids the owner had in work.
#[tokio::test(start_paused = true)]
async fn a_successor_accepts_messages_after_the_owner_has_ended_once_it_has_taken_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut owner, mut successor) = start_both(folder.path());
        accept_at(&mut owner, &mut successor, "m1").await;
        drop(owner);
        successor.engine.run_batch(vec![Input::PeerProcessDisconnected]);
        let mut known = successor.submit(1, "m1");
        let mut new = successor.submit(2, "m2");
        assert!(known.try_recv().is_err() && new.try_recv().is_err());
        let (response_sender, is_owner) = oneshot::channel();
        successor.engine.run_batch(vec![Input::TakeOver(response_sender)]);
        assert_eq!(is_owner.await, Ok(true));
        let inputs = std::mem::take(&mut successor.engine.next_batch_inputs);
        successor.engine.run_batch(inputs);
        assert_eq!((known.await, new.await), (REFUSED, ACCEPTED));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The other process has ended without a successor, so that its answers never come.
#[tokio::test(start_paused = true)]
async fn the_owner_accepts_waiting_messages_after_its_successor_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut owner, successor) = start_both(folder.path());
        let response = owner.submit(1, "m1");
        drop(successor);
        owner.engine.run_batch(vec![Input::PeerProcessDisconnected]);
        let inputs = std::mem::take(&mut owner.engine.next_batch_inputs);
        owner.engine.run_batch(inputs);
        assert_eq!(response.await, ACCEPTED);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
