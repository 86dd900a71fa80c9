//! Recovered messages that compete with new messages for the policy's capacity.

use std::time::Duration;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, PendingNotification, Store};

use super::super::tests::{engine, submission};

/// Writes messages without attempts, for a destination without receivers, into a journal.
fn write_messages_without_attempts(state: &std::path::Path, count: usize, time_left_ms: u64) {
    let mut store = Store::open(state, 3_000_000).expect("a journal");
    for number in 0..count {
        store.accept(journal::Message {
            message_id: format!("recovered-{number}").into(),
            class: "safe".into(),
            tenant: "".into(),
            destination: 8,
            idempotency_key: None,
            deadline: UnixMillis::now() + time_left_ms,
            body: Bytes::from_static(b"text"),
            attempts: 0,
            possibly_executed: None,
            in_flight: None,
        });
    }
    store.commit().expect("written");
}

/// The policy gives new messages a higher value than older ones of the same class. A recovered message that the policy
/// sheds before the message's first attempt must return to the backlog.
#[tokio::test(start_paused = true)]
async fn recovered_messages_without_attempts_are_not_shed_for_new_ones() {
    let folder = tempfile::tempdir().expect("a folder");
    write_messages_without_attempts(folder.path(), 45, 4_000);
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        // The policy accepts 47 messages before it sheds one.
        assert_eq!(engine.tracked_messages.len(), 45);
        for number in 0..60 {
            let (input, _response) = submission(number, &format!("new-{number}"));
            engine.run_batch(vec![input]);
        }
        assert!(
            engine.backlog.len() > 30,
            "messages in the backlog: {}, must be more than 30",
            engine.backlog.len()
        );
        assert!((0..45).all(|n| engine.store.pending_message(&format!("recovered-{n}").into()).is_some()));
        assert_eq!(engine.status().open_requests, engine.tracked_messages.len() + engine.backlog.len());
        // The endpoint list has no receiver for the recovered messages: each fails at its deadline.
        tokio::time::advance(Duration::from_millis(4_001)).await;
        engine.run_batch(Vec::new());
        assert!(engine.backlog.is_empty());
        let pending: Vec<PendingNotification> =
            engine.store.pending_notifications().filter(|n| n.message_id.starts_with("recovered-")).collect();
        assert_eq!(pending.len(), 45);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
