use super::*;

fn memory(at: u64, outage: OutageState) -> Option<OutageRecord> {
    Some(OutageRecord { segment: 0, at, outage })
}

#[test]
fn a_memory_ages_with_the_wall_clock_and_no_other_way() {
    let mut outage_records = OutageRecords::default();
    outage_records.put((7, "".into()), memory(100_000, OutageState::Down { wait: 11_000 }));
    outage_records.put((8, "r1".into()), memory(100_000, OutageState::WarmingUp { ago: -500, part: 0.5 }));
    let at = |wall| outage_records.at(wall).map(|(place, outage)| (place.0, outage)).collect::<Vec<_>>();
    let cold = |ago| (8, OutageState::WarmingUp { ago, part: 0.5 });
    assert_eq!(at(104_000), [(7, OutageState::Down { wait: 7_000 }), cold(3_500)]);
    assert_eq!(at(130_000), [(7, OutageState::Down { wait: 0 }), cold(29_500)]);
    // Set back by an hour: no longer than it was.
    assert_eq!(at(0), [(7, OutageState::Down { wait: 11_000 }), cold(-500)]);
    assert_eq!(at(165_000), [(7, OutageState::Down { wait: 0 })]);
    assert_eq!(at(172_000), []);
}

#[test]
fn memories_are_bounded_and_the_oldest_goes() {
    let mut outage_records = OutageRecords::default();
    for n in 0..3_000u16 {
        outage_records.put((n, "".into()), memory(u64::from(n), OutageState::Down { wait: 0 }));
    }
    assert_eq!(outage_records.0.len(), MOST);
    assert_eq!(outage_records.at(3_000).map(|(place, _)| place.0).min(), Some(2_000));
    outage_records.put((2_999, "".into()), None);
    assert_eq!(outage_records.0.len(), MOST - 1);
}
