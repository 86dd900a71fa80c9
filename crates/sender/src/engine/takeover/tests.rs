//! Backoffs from the peer process are clamped, because the peer process may send any number.

use std::time::Duration;

use super::super::tests::{engine, submission};
use crate::event::{Input, SubmissionId, SubmissionResponse};
use crate::outbound::MAX_BACKOFF_MS;

#[tokio::test(start_paused = true)]
async fn a_backoff_from_the_peer_process_lasts_a_minute_at_most() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        for wait in [1e300, f64::INFINITY, -5.0] {
            let (mut engine, _inputs) = engine(folder.path());
            engine.run_batch(vec![Input::PeerProcessBackoff { destination: 7, receiver: None, wait }]);
            tokio::time::advance(Duration::from_millis(MAX_BACKOFF_MS as u64 + 1)).await;
            let (input, response) = submission(1, "m1");
            engine.run_batch(vec![input]);
            assert_eq!(response.await, Ok(SubmissionResponse::Accepted));
            assert_eq!(engine.calls.len(), 1, "calls in flight after a backoff of {wait} ms");
            engine.run_batch(vec![Input::Withdrawn(SubmissionId(1))]);
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
