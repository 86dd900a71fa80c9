//! All datagrams of a seeded run against `tests/golden/transcript.txt`, which is never regenerated.
mod simulation;

use std::fmt::Write;

use rudderspindle_heavy_hitters::{Key, Settings};
use simulation::traffic::Zipf;
use simulation::{BEGIN_MS, Simulation};

/// FNV-1a, 64 bits.
fn hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn a_seeded_fleet_sends_the_same_bytes_and_finds_the_same_streams_as_ever() {
    let settings = Settings { max_per_second: 40, ..Settings::default() };
    let zipf = Zipf::new(50, 1.1);
    let mut simulation = Simulation::new(77, 12, settings, BEGIN_MS - 2_700);
    simulation.loss = 0.2;
    let (mut lines, mut digest) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for second in 0..24 {
        if second == 9 {
            simulation.restart(4, 2);
        }
        let before = simulation.delivered.len();
        simulation.run(1_000, |simulation| {
            for sender in 0..12 {
                if simulation.chance() < 0.15 {
                    let (point, key) = (simulation.chance(), simulation.chance());
                    let key = (key < 0.3).then_some(Key::new((key * 100.0) as u64));
                    simulation.accept(sender, zipf.stream(point), key);
                }
            }
        });
        for datagram in &simulation.delivered[before..] {
            digest = hash(digest, &[datagram.from.0 as u8, datagram.to.0 as u8]);
            digest = hash(digest, &datagram.body);
        }
        let hot: Vec<usize> = simulation.senders.iter().map(|sender| sender.hot_streams().count()).collect();
        let count = simulation.delivered.len() - before;
        writeln!(lines, "{count} datagrams, digest {digest:016x}, hot {hot:?}").unwrap();
    }
    assert_eq!(lines, include_str!("golden/transcript.txt"));
}
