//! What is found beside what comes anew.

use super::super::tests::{engine, submission};
use super::*;

/// Messages that an earlier process left untried, for a partner that is on no list, with so much time left.
fn leave_behind(state: &std::path::Path, most: usize, left_ms: u64) {
    let mut store = Store::open(state, 3_000_000).expect("a journal");
    for n in 0..most {
        store.accept(journal::Message {
            message_id: format!("found-{n}").into(),
            class: "safe".into(),
            tenant: "".into(),
            destination: 8,
            key: None,
            deadline: journal::wall_ms() + left_ms,
            body: Bytes::from_static(b"text"),
            attempts: 0,
            possibly_executed: None,
            in_flight: None,
        });
    }
    store.commit().expect("written");
}

/// New ones are worth more than old ones of the same class: those found are not shed for them, and end in time.
#[tokio::test(start_paused = true)]
async fn what_is_found_untried_is_not_given_up_for_what_comes_anew() {
    let folder = tempfile::tempdir().expect("a folder");
    leave_behind(folder.path(), 45, 4_000);
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        // Most of the 47 that are held before any is shed.
        assert_eq!(engine.held.len(), 45);
        for number in 0..60 {
            let (input, _answered) = submission(number, &format!("new-{number}"));
            engine.batch(vec![input]);
        }
        assert!(engine.backlog.len() > 30, "{} were shed", engine.backlog.len());
        assert!((0..45).all(|n| engine.store.pending_message(&format!("found-{n}").into()).is_some()));
        assert_eq!(engine.standing().open_requests, engine.held.len() + engine.backlog.len());
        // The list still does not know where they go: each ends when its time is up.
        tokio::time::advance(Duration::from_millis(4_001)).await;
        engine.batch(Vec::new());
        assert!(engine.backlog.is_empty());
        let owed: Vec<Notice> =
            engine.store.pending_notifications().filter(|n| n.message_id.starts_with("found-")).collect();
        assert_eq!(owed.len(), 45);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
