use rudderspindle_journal::Status;

use super::{EngineStatus, FinalOutcome, Metrics};

#[test]
fn each_final_outcome_counts_once_for_its_class_and_none_for_a_class_that_does_not_exist() {
    let metrics = Metrics::new(&["drop".to_owned(), "status".to_owned()]);
    metrics.record_outcome(0, FinalOutcome::Delivered);
    metrics.record_outcome(1, Status::Deferred(Some(5)).into());
    metrics.record_outcome(1, Status::Undeliverable.into());
    metrics.record_outcome(2, FinalOutcome::Delivered);
    metrics.call_written();
    metrics.set_engine_status(EngineStatus { open_requests: 3, registry_entries: 2, out_of_rotation: 1 });
    assert_eq!(
        metrics.to_json(),
        r#"{"fulfilled":{"drop":1,"status":0},"throttled":{"drop":0,"status":1},"faulted":{"drop":0,"status":1},"relayed":1,"open_requests":3,"registry_entries":2,"out_of_rotation":1}"#
    );
}
