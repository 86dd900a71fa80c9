use super::*;

fn memory(at: u64, trouble: Trouble) -> Option<Memory> {
    Some(Memory { segment: 0, at, trouble })
}

#[test]
fn a_memory_ages_with_the_wall_clock_and_no_other_way() {
    let mut memories = Memories::default();
    memories.put((7, "".into()), memory(100_000, Trouble::Down { wait: 11_000 }));
    memories.put((8, "r1".into()), memory(100_000, Trouble::Cold { ago: -500, part: 0.5 }));
    let at = |wall| memories.at(wall).map(|(place, trouble)| (place.0, trouble)).collect::<Vec<_>>();
    let cold = |ago| (8, Trouble::Cold { ago, part: 0.5 });
    assert_eq!(at(104_000), [(7, Trouble::Down { wait: 7_000 }), cold(3_500)]);
    assert_eq!(at(130_000), [(7, Trouble::Down { wait: 0 }), cold(29_500)]);
    // Set back by an hour: no longer than it was.
    assert_eq!(at(0), [(7, Trouble::Down { wait: 11_000 }), cold(-500)]);
    assert_eq!(at(165_000), [(7, Trouble::Down { wait: 0 })]);
    assert_eq!(at(172_000), []);
}

#[test]
fn memories_are_bounded_and_the_oldest_goes() {
    let mut memories = Memories::default();
    for n in 0..3_000u16 {
        memories.put((n, "".into()), memory(u64::from(n), Trouble::Down { wait: 0 }));
    }
    assert_eq!(memories.0.len(), MOST);
    assert_eq!(memories.at(3_000).map(|(place, _)| place.0).min(), Some(2_000));
    memories.put((2_999, "".into()), None);
    assert_eq!(memories.0.len(), MOST - 1);
}
