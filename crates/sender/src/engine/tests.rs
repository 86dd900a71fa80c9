//! Tests of a complete engine on a journal. The tests run the engine's batches themselves instead of `Engine::run`.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_journal::Store;
use rudderspindle_policy::interface::DestinationId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::Engine;
use super::dependencies::{EngineDependencies, EngineIo, LimitSharing, PolicyOptions};
use super::tracked_messages::MAX_CLIENTS_PER_MESSAGE;
use crate::event::{Input, Submission, SubmissionId, SubmissionResponse};
use crate::handover::PeerProcess;
use crate::metrics::Metrics;
use crate::outbound::Outbound;

mod cancels;
mod claims;
mod deadline;
mod pending_bytes;
mod resubmission;
mod reused_id;
mod shutdown;

/// An engine with one receiver for destination 7, and the channel of its inputs.
pub(super) fn engine(state: &std::path::Path) -> (Engine, mpsc::Sender<Input>) {
    let json = serde_json::json!({
        "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
    let settings = rudderspindle_policy::settings::read(&json).expect("settings");
    let names = rudderspindle_policy::settings::names(&json).expect("names");
    let (to_engine, inputs) = mpsc::channel(16);
    let metrics = Rc::new(Metrics::new(&names.classes));
    let peer_process = Rc::new(PeerProcess::default());
    let outbound =
        Rc::new(Outbound::new(&settings, 8, metrics.clone(), peer_process.clone(), to_engine.clone()));
    let store = Store::open(state, 3_000_000).expect("a journal");
    let dependencies = EngineDependencies {
        policy: PolicyOptions { settings, names, seed: 1, limit_sharing: LimitSharing::Equal },
        store,
        max_pending_bytes: None,
        io: EngineIo { outbound, notifications: Rc::default(), metrics, peer_process, inputs },
        shared_listener: false,
        collect_activity: false,
    };
    let member = serde_json::json!({"id": "r1", "host_port": "127.0.0.1:1", "cell": 7, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 1, "complete": true, "members": [member]});
    let list = serde_json::from_value(list).expect("a list");
    (Engine::new(dependencies, &list, None).expect("an engine"), to_engine)
}

/// A submission of a message for destination 7 with a deadline in 9 s, and the receiver of its response.
pub(super) fn submission(number: u64, message_id: &str) -> (Input, oneshot::Receiver<SubmissionResponse>) {
    let (response_sender, response) = oneshot::channel();
    let (message_id, body) = (message_id.into(), Bytes::from_static(b"text"));
    let (deadline, destination) = (Instant::now() + Duration::from_secs(9), DestinationId(7));
    let submission = Submission {
        id: SubmissionId(number),
        message_id,
        class: 0,
        tenant: 0,
        destination,
        idempotency_key: None,
        body,
        deadline,
        response_sender,
    };
    (Input::Submitted(submission), response)
}

/// If the message were withdrawn when only one of its clients disconnects, it would be lost for another client that has
/// received the response 202.
#[tokio::test]
async fn a_message_is_withdrawn_once_all_its_clients_have_disconnected() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        for number in 1..=MAX_CLIENTS_PER_MESSAGE as u64 + 1 {
            let (input, response) = submission(number, "m1");
            engine.run_batch(vec![input]);
            let is_refused = number > MAX_CLIENTS_PER_MESSAGE as u64;
            let expected = if is_refused {
                SubmissionResponse::REFUSED_WITHOUT_RETRY_AFTER
            } else {
                SubmissionResponse::Accepted
            };
            assert_eq!(response.await, Ok(expected));
        }
        for number in 2..=MAX_CLIENTS_PER_MESSAGE as u64 + 1 {
            engine.run_batch(vec![Input::Withdrawn(SubmissionId(number))]);
            assert!(
                engine.tracked_messages.len() == 1 && engine.store.contains(&"m1".into()),
                "withdrawn by submission {number}"
            );
        }
        engine.run_batch(vec![Input::Withdrawn(SubmissionId(1))]);
        assert!(
            engine.tracked_messages.is_empty()
                && engine.tracked_messages.entry_count() == 0
                && !engine.store.contains(&"m1".into())
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Each round replaces a receiver by one with a new id and a new zone, and submits a new message.
#[tokio::test(start_paused = true)]
async fn memory_stays_bounded_while_receivers_and_messages_change() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, mut _inputs) = engine(folder.path());
        let mut entry_counts = Vec::new();
        for n in 0..1_200u64 {
            let endpoint = |n: u64, phase| {
                let port = 1 + n % 50;
                serde_json::json!({"id": format!("r{n}"), "host_port": format!("127.0.0.1:{port}"),
                    "locality": format!("zone-{n}"), "cell": 7 + n % 3, "phase": phase})
            };
            let members = if n < 3 {
                vec![endpoint(n, "SERVING")]
            } else {
                vec![endpoint(n, "SERVING"), endpoint(n - 3, "DELETED")]
            };
            let list = serde_json::json!({"revision": n, "complete": false, "members": members});
            engine.run_batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
            let (input, _response) = submission(n, &format!("m{n}"));
            engine.run_batch(vec![input, Input::Withdrawn(SubmissionId(n))]);
            tokio::time::advance(Duration::from_millis(500)).await;
            engine.run_batch(Vec::new());
            let entries = engine.endpoints.entry_count() + engine.tracked_messages.entry_count();
            let entries = entries + engine.calls.len() + engine.timers.len();
            entry_counts.push(entries + engine.io.outbound.entries() + engine.policy.state_entry_count());
        }
        let (halfway, final_count) = (entry_counts[599], entry_counts[1_199]);
        assert!(
            final_count <= halfway + 10 && final_count < 600,
            "entries: {halfway} after 600 rounds, {final_count} after 1,200"
        );
        assert!(engine.endpoints.zone_count() <= usize::from(u8::MAX));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
