//! Outages from the journal's owner, another process of this sender, are clamped, because that process may send any
//! number.

use rudderspindle_journal::{self as journal, Store};

use super::restore_outages;
use crate::handover::{self, HandoverMessage};

#[test]
fn outages_out_of_range_are_clamped_when_restored() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = Store::open(folder.path(), 3_000_000).expect("a journal");
    let outages = [
        (1, handover::OutageState::Down { retry_after_remaining: u64::MAX }),
        (2, handover::OutageState::WarmingUp { since_recovery: i64::MIN, ramp_share: 7.5 }),
        (3, handover::OutageState::WarmingUp { since_recovery: 5, ramp_share: -1.0 }),
    ];
    let messages = outages.map(|(destination, outage)| HandoverMessage::OutageState {
        destination,
        receiver: String::new(),
        outage,
    });
    restore_outages(&mut store, &messages);
    for (key, outage) in store.outage_records() {
        let is_in_range = match outage {
            journal::OutageState::Down { retry_after_remaining } => {
                key.destination == 1 && retry_after_remaining <= 60_000
            }
            journal::OutageState::WarmingUp { since_recovery, ramp_share } => {
                since_recovery >= -60_000 && (0.0..=1.0).contains(&ramp_share)
            }
        };
        assert!(is_in_range, "{key:?}: {outage:?}");
    }
    assert_eq!(store.outage_records().count(), 3);
}
