//! Outage records after restarts and compaction, and records with invalid fields.

use rudderspindle_clock::UnixMillis;

use super::{BUDGET, message};
use crate::MessageId;
use crate::outage_records::{EndpointKey, OutageState};
use crate::record::append_outage;
use crate::replay::{ReplayedState, replay_segment};
use crate::segments::segment_path;
use crate::store::Store;

#[test]
fn outage_records_survive_a_restart_and_compaction() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), BUDGET).expect("a journal");
    let destination = EndpointKey::new(7, "");
    let receiver = EndpointKey::new(8, "r1");
    store.record_outage(destination.clone(), Some(OutageState::Down { retry_after_remaining: 50_000 }));
    store.record_outage(
        receiver.clone(),
        Some(OutageState::WarmingUp { since_recovery: 100, ramp_share: 0.25 }),
    );
    store.record_outage(EndpointKey::new(9, ""), Some(OutageState::Down { retry_after_remaining: 0 }));
    store.record_outage(EndpointKey::new(9, ""), None);
    store.commit().expect("written");
    // Fills segments until the first one, which holds the outage records, is compacted.
    for n in 0..100 {
        let message_id: MessageId = format!("m{n}").into();
        store.accept(message(&message_id, 60_000));
        store.commit().expect("written");
        store.complete(&message_id, None);
        store.commit().expect("written");
    }
    assert!(!segment_path(folder.path(), 0).exists(), "the segment with the outage records was not removed");
    drop(store);
    let store = Store::open(folder.path(), BUDGET).expect("a journal");
    let restored: Vec<(EndpointKey, OutageState)> =
        store.outage_records().map(|(endpoint, outage)| (endpoint.clone(), outage)).collect();
    let [
        (first, OutageState::Down { retry_after_remaining }),
        (second, OutageState::WarmingUp { since_recovery, ramp_share }),
    ] = &restored[..]
    else {
        panic!("{restored:?}")
    };
    assert_eq!((first, second, *ramp_share), (&destination, &receiver, 0.25));
    let is_aged = (40_000..=50_000).contains(retry_after_remaining) && (100..10_000).contains(since_recovery);
    assert!(is_aged, "{restored:?}");
}

#[test]
fn an_outage_record_with_an_invalid_ramp_share_is_skipped() {
    let mut state = ReplayedState::default();
    let mut batch = Vec::new();
    append_outage(
        &mut batch,
        &EndpointKey::new(7, ""),
        UnixMillis::now(),
        Some(OutageState::WarmingUp { since_recovery: 0, ramp_share: 7.5 }),
    );
    append_outage(
        &mut batch,
        &EndpointKey::new(8, ""),
        UnixMillis::now(),
        Some(OutageState::WarmingUp { since_recovery: 0, ramp_share: f64::NAN }),
    );
    append_outage(
        &mut batch,
        &EndpointKey::new(9, ""),
        UnixMillis::now(),
        Some(OutageState::Down { retry_after_remaining: 5 }),
    );
    assert_eq!(replay_segment(&batch, 0, &mut state), batch.len());
    let destinations =
        state.outage_records.states_at(UnixMillis::now()).map(|(endpoint, _)| endpoint.destination);
    assert_eq!(destinations.collect::<Vec<_>>(), [9]);
}
