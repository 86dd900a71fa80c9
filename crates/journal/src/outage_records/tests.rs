//! Aging of outage records, and their maximum number.

use rudderspindle_clock::UnixMillis;

use super::{EndpointKey, MAX_RECORDS, OutageRecord, OutageRecords, OutageState};

fn record(recorded_at: u64, outage: OutageState) -> Option<OutageRecord> {
    Some(OutageRecord { segment: 0, recorded_at: UnixMillis(recorded_at), outage })
}

/// A record does not age while the wall clock is set back to before its time.
#[test]
fn an_outage_record_ages_with_the_wall_clock() {
    let mut outage_records = OutageRecords::default();
    outage_records
        .set(EndpointKey::new(7, ""), record(100_000, OutageState::Down { retry_after_remaining: 11_000 }));
    outage_records.set(
        EndpointKey::new(8, "r1"),
        record(100_000, OutageState::WarmingUp { since_recovery: -500, ramp_share: 0.5 }),
    );
    let states_at = |now| {
        outage_records
            .states_at(UnixMillis(now))
            .map(|(endpoint, outage)| (endpoint.destination, outage))
            .collect::<Vec<_>>()
    };
    let warming_up = |since_recovery| (8, OutageState::WarmingUp { since_recovery, ramp_share: 0.5 });
    assert_eq!(
        states_at(104_000),
        [(7, OutageState::Down { retry_after_remaining: 7_000 }), warming_up(3_500)]
    );
    assert_eq!(states_at(130_000), [(7, OutageState::Down { retry_after_remaining: 0 }), warming_up(29_500)]);
    // The clock was set back: the states are returned as recorded.
    assert_eq!(states_at(0), [(7, OutageState::Down { retry_after_remaining: 11_000 }), warming_up(-500)]);
    assert_eq!(states_at(165_000), [(7, OutageState::Down { retry_after_remaining: 0 })]);
    assert_eq!(states_at(172_000), []);
}

#[test]
fn the_oldest_outage_record_beyond_the_maximum_is_evicted() {
    let mut outage_records = OutageRecords::default();
    for n in 0..3_000u16 {
        outage_records.set(
            EndpointKey::new(n, ""),
            record(u64::from(n), OutageState::Down { retry_after_remaining: 0 }),
        );
    }
    assert_eq!(outage_records.0.len(), MAX_RECORDS);
    assert_eq!(
        outage_records.states_at(UnixMillis(3_000)).map(|(endpoint, _)| endpoint.destination).min(),
        Some(2_000)
    );
    outage_records.set(EndpointKey::new(2_999, ""), None);
    assert_eq!(outage_records.0.len(), MAX_RECORDS - 1);
}
