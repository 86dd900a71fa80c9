//! What the other process says may be anything that can be read.

use super::super::tests::{engine, submission};
use super::*;

#[tokio::test(start_paused = true)]
async fn a_wait_of_any_length_told_by_the_other_process_holds_for_a_minute_at_most() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        for ms in [1e300, f64::INFINITY, -5.0] {
            let (mut engine, _inputs) = engine(folder.path());
            engine.batch(vec![Input::Waits { destination: 7, receiver: None, ms }]);
            tokio::time::advance(Duration::from_millis(LONGEST_WAIT as u64 + 1)).await;
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
        (1, handover::Trouble::Down { wait: u64::MAX }),
        (2, handover::Trouble::Cold { ago: i64::MIN, part: 7.5 }),
        (3, handover::Trouble::Cold { ago: 5, part: -1.0 }),
    ];
    let words =
        told.map(|(destination, trouble)| Word::Trouble { destination, receiver: "".into(), trouble });
    Engine::hear(&mut store, &words);
    for (place, trouble) in store.memories() {
        let fits = match trouble {
            journal::Trouble::Down { wait } => place.0 == 1 && wait <= 60_000,
            journal::Trouble::Cold { ago, part } => ago >= -60_000 && (0.0..=1.0).contains(&part),
        };
        assert!(fits, "{place:?}: {trouble:?}");
    }
    assert_eq!(store.memories().count(), 3);
}
