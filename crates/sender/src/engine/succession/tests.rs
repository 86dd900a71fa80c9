//! What the other process says may be anything that can be read.

use super::super::tests::{engine, submission};
use super::*;

#[tokio::test(start_paused = true)]
async fn a_wait_of_any_length_told_by_the_other_process_holds_for_a_minute_at_most() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        for ms in [1e300, f64::INFINITY, -5.0] {
            let (mut engine, _inputs) = engine(folder.path());
            engine.batch(vec![Input::RetryAfter { destination: 7, receiver: None, ms }]);
            tokio::time::advance(Duration::from_millis(MAX_BACKOFF_MS as u64 + 1)).await;
            let (input, answered) = submission(1, "m1");
            engine.batch(vec![input]);
            assert_eq!(answered.await, Ok(Answer::Accepted));
            assert_eq!(engine.calls.len(), 1, "after a wait of {ms} ms");
            engine.batch(vec![Input::Withdrawn(1)]);
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[test]
fn troubles_that_cannot_be_are_taken_for_the_nearest_that_can() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), 3_000_000).expect("a journal");
    let told = [
        (1, handover::OutageState::Down { wait: u64::MAX }),
        (2, handover::OutageState::WarmingUp { ago: i64::MIN, part: 7.5 }),
        (3, handover::OutageState::WarmingUp { ago: 5, part: -1.0 }),
    ];
    let words = told.map(|(destination, outage)| HandoverMessage::OutageState {
        destination,
        receiver: "".into(),
        outage,
    });
    Engine::hear(&mut store, &words);
    for (place, outage) in store.outage_records() {
        let fits = match outage {
            journal::OutageState::Down { wait } => place.destination == 1 && wait <= 60_000,
            journal::OutageState::WarmingUp { ago, part } => ago >= -60_000 && (0.0..=1.0).contains(&part),
        };
        assert!(fits, "{place:?}: {outage:?}");
    }
    assert_eq!(store.outage_records().count(), 3);
}
