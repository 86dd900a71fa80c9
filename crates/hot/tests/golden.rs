//! All datagrams of a seeded run against `tests/golden/transcript.txt`, which is never regenerated.
mod world;

use std::fmt::Write;

use rudderspindle_hot::{Hottest, Key, Settings};
use world::{BEGIN_MS, World, Zipf};

/// FNV-1a, 64 bits.
fn hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn a_seeded_fleet_sends_the_same_bytes_and_finds_the_same_streams_as_ever() {
    let settings = Settings { most_per_second: 40, ..Settings::default() };
    let zipf = Zipf::new(50, 1.1);
    let mut world = World::new(77, 12, settings, BEGIN_MS - 2_700);
    world.lost = 0.2;
    let (mut lines, mut digest) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for second in 0..24 {
        if second == 9 {
            world.senders[4] = Hottest::new(settings, 4, 12, 2, world.now, false).unwrap();
        }
        let before = world.taped.len();
        world.run(1_000, |world| {
            for to in 0..12 {
                if world.chance() < 0.15 {
                    let (point, key) = (world.chance(), world.chance());
                    let key = (key < 0.3).then_some(Key::new((key * 100.0) as u64));
                    world.hand_in(to, zipf.stream(point), key);
                }
            }
        });
        for (from, to, bytes) in &world.taped[before..] {
            digest = hash(digest, &[*from as u8, *to as u8]);
            digest = hash(digest, bytes);
        }
        let hot: Vec<usize> = world.senders.iter().map(|sender| sender.hot().count()).collect();
        let count = world.taped.len() - before;
        writeln!(lines, "{count} datagrams, digest {digest:016x}, hot {hot:?}").unwrap();
    }
    assert_eq!(lines, include_str!("golden/transcript.txt"));
}
