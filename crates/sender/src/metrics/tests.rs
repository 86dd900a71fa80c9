use rudderspindle_journal::Status;

use super::{EngineStatus, FinalOutcome, Metrics};

/// An outcome of a class that does not exist is ignored.
#[test]
fn each_final_outcome_is_counted_once_for_its_class() {
    let metrics = Metrics::new(&["drop".to_owned(), "status".to_owned()]);
    metrics.count_outcome(0, FinalOutcome::Delivered);
    metrics.count_outcome(1, Status::Deferred(Some(5)).into());
    metrics.count_outcome(1, Status::Undeliverable.into());
    metrics.count_outcome(2, FinalOutcome::Delivered);
    metrics.call_written();
    metrics.set_engine_status(EngineStatus { open_requests: 3, registry_entries: 2, out_of_rotation: 1 });
    assert_eq!(
        metrics.to_json(),
        r#"{"fulfilled":{"drop":1,"status":0},"throttled":{"drop":0,"status":1},"faulted":{"drop":0,"status":1},"relayed":1,"open_requests":3,"registry_entries":2,"out_of_rotation":1}"#
    );
}
