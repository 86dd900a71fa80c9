//! Disposal of bodies after a rule excluded the sender's zone, and validation of the record after a kill.
mod simulation;

use rudderspindle_placement::{
    BodyDisposal, ExecutionState, FleetKey, Incarnation, Placement, RecordError, Settings, StartError,
    StateRecord, ZoneList,
};
use simulation::{START_MS, at, key, rules, settings, tenant};

/// A sender in the second zone, which the tenant's rules exclude since `START_MS + 200`.
fn sender_in_excluded_zone() -> Placement {
    let both = rules(1, &["hall-a", "hall-b"]);
    let mut process = Placement::new(settings(1, 3), Some(both), None, Incarnation(1), at(START_MS)).unwrap();
    assert_eq!(process.body_disposal(tenant(), ExecutionState::NeverExecuted), BodyDisposal::Keep);
    process.reload(at(START_MS + 200), rules(2, &["hall-a"])).unwrap();
    process
}

#[test]
fn each_execution_state_has_a_disposal_and_a_deadline() {
    let process = sender_in_excluded_zone();
    let erase_deadline = at(START_MS + 1_200);
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::NeverExecuted),
        BodyDisposal::ReturnToClient { erase_deadline }
    );
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::PossiblyExecuted),
        BodyDisposal::CompleteByClass { erase_deadline }
    );
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::InFlight),
        BodyDisposal::AwaitCallEnd { call_deadline: at(START_MS + 700) }
    );
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::Completed),
        BodyDisposal::Erase { erase_deadline }
    );
    assert_eq!(
        process.body_disposal(key().tenant_id("tapi-news"), ExecutionState::Completed),
        BodyDisposal::Keep
    );
}

#[test]
fn deadlines_and_rules_survive_a_kill() {
    let record = StateRecord::decode(&sender_in_excluded_zone().snapshot().bytes, &key()).unwrap();
    assert!(!record.is_voting(), "the sender has received no summary");
    let old_file = rules(1, &["hall-a", "hall-b"]);
    let restarted =
        Placement::new(settings(1, 3), Some(old_file), Some(record), Incarnation(2), at(START_MS + 900))
            .unwrap();
    assert_eq!(
        restarted.body_disposal(tenant(), ExecutionState::Completed),
        BodyDisposal::Erase { erase_deadline: at(START_MS + 1_200) }
    );
}

#[test]
fn a_truncated_or_changed_record_or_another_key_is_an_error() {
    let bytes = sender_in_excluded_zone().snapshot().bytes;
    for len in 0..bytes.len() {
        assert_eq!(StateRecord::decode(&bytes[..len], &key()), Err(RecordError::Corrupt), "{len} bytes");
    }
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 0x10;
        assert_eq!(StateRecord::decode(&changed, &key()), Err(RecordError::Corrupt), "byte {index}");
    }
    assert_eq!(StateRecord::decode(&bytes, &FleetKey::new([8; 16])), Err(RecordError::Corrupt));
}

#[test]
fn a_record_that_refers_to_another_zone_list_prevents_the_start() {
    let record = StateRecord::decode(&sender_in_excluded_zone().snapshot().bytes, &key()).unwrap();
    let zones = ZoneList::new(&["hall-b", "hall-a"]).unwrap();
    let reordered = Settings { zones, ..settings(1, 3) };
    assert_eq!(
        Placement::new(reordered, None, Some(record), Incarnation(2), at(START_MS)),
        Err(StartError::RecordZoneListMismatch)
    );
}
