//! Recovered messages together with new ones.

use std::time::Duration;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{self as journal, PendingNotification, Store};

use super::super::tests::{engine, submission};

/// Writes messages that were never tried, for a destination without receivers, into a journal.
fn write_untried_messages(state: &std::path::Path, count: usize, time_left_ms: u64) {
    let mut store = Store::open(state, 3_000_000).expect("a journal");
    for number in 0..count {
        store.accept(journal::Message {
            message_id: format!("found-{number}").into(),
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

/// New messages have a higher value than old ones of the same class.
#[tokio::test(start_paused = true)]
async fn recovered_messages_that_were_never_tried_are_not_shed_for_new_ones() {
    let folder = tempfile::tempdir().expect("a folder");
    write_untried_messages(folder.path(), 45, 4_000);
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        // The policy takes 47 before it sheds any.
        assert_eq!(engine.tracked.len(), 45);
        for number in 0..60 {
            let (input, _answered) = submission(number, &format!("new-{number}"));
            engine.run_batch(vec![input]);
        }
        assert!(engine.backlog.len() > 30, "{} were shed", engine.backlog.len());
        assert!((0..45).all(|n| engine.store.pending_message(&format!("found-{n}").into()).is_some()));
        assert_eq!(engine.status().open_requests, engine.tracked.len() + engine.backlog.len());
        // The list has no receiver for them: each fails at its deadline.
        tokio::time::advance(Duration::from_millis(4_001)).await;
        engine.run_batch(Vec::new());
        assert!(engine.backlog.is_empty());
        let pending: Vec<PendingNotification> =
            engine.store.pending_notifications().filter(|n| n.message_id.starts_with("found-")).collect();
        assert_eq!(pending.len(), 45);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
