//! Bodies outside their zones after a rule was narrowed, and the record after a kill.
mod simulation;

use rudderspindle_placement::{
    BodyDisposal, ExecutionState, FleetKey, Incarnation, Placement, RecordError, Settings, StartError,
    StateRecord, ZoneList,
};
use simulation::{START_MS, at, key, rules, settings, tenant};

/// A sender in the second zone, which its tenant's rules exclude since `START_MS + 200`.
fn excluded() -> Placement {
    let both = rules(1, &["hall-a", "hall-b"]);
    let mut process = Placement::new(settings(1, 3), Some(both), None, Incarnation(1), at(START_MS)).unwrap();
    assert_eq!(process.body_disposal(tenant(), ExecutionState::NeverExecuted), BodyDisposal::Keep);
    process.reload(at(START_MS + 200), rules(2, &["hall-a"])).unwrap();
    process
}

#[test]
fn each_execution_state_of_a_body_outside_its_zones_has_a_disposal_and_a_deadline() {
    let process = excluded();
    let deadline = at(START_MS + 1_200);
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::NeverExecuted),
        BodyDisposal::ReturnToClient { deadline }
    );
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::PossiblyExecuted),
        BodyDisposal::CompleteByClass { deadline }
    );
    assert_eq!(
        process.body_disposal(tenant(), ExecutionState::InFlight),
        BodyDisposal::AwaitOutcome { deadline: at(START_MS + 700) }
    );
    assert_eq!(process.body_disposal(tenant(), ExecutionState::Completed), BodyDisposal::Erase { deadline });
    assert_eq!(
        process.body_disposal(key().tenant_id("tapi-news"), ExecutionState::Completed),
        BodyDisposal::Keep
    );
}

#[test]
fn a_kill_postpones_no_deadline_and_loses_no_rule() {
    let record = StateRecord::decode(&excluded().snapshot().bytes, &key()).unwrap();
    assert!(!record.is_voting(), "it has received nothing");
    let old_file = rules(1, &["hall-a", "hall-b"]);
    let next =
        Placement::new(settings(1, 3), Some(old_file), Some(record), Incarnation(2), at(START_MS + 900))
            .unwrap();
    assert_eq!(
        next.body_disposal(tenant(), ExecutionState::Completed),
        BodyDisposal::Erase { deadline: at(START_MS + 1_200) }
    );
}

#[test]
fn a_record_that_is_cut_changed_or_of_another_key_or_version_is_refused() {
    let bytes = excluded().snapshot().bytes;
    for end in 0..bytes.len() {
        assert_eq!(StateRecord::decode(&bytes[..end], &key()), Err(RecordError::Corrupt), "{end} bytes");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert_eq!(StateRecord::decode(&changed, &key()), Err(RecordError::Corrupt), "byte {at}");
    }
    assert_eq!(StateRecord::decode(&bytes, &FleetKey::new([8; 16])), Err(RecordError::Corrupt));
}

#[test]
fn a_record_that_refers_to_another_zone_list_prevents_the_start() {
    let record = StateRecord::decode(&excluded().snapshot().bytes, &key()).unwrap();
    let zones = ZoneList::new(&["hall-b", "hall-a"]).unwrap();
    let reordered = Settings { zones, ..settings(1, 3) };
    assert_eq!(
        Placement::new(reordered, None, Some(record), Incarnation(2), at(START_MS)),
        Err(StartError::RecordZoneListMismatch)
    );
}
