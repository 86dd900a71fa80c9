//! Compares all datagrams of a seeded run with `tests/golden/transcript.txt`, which is never regenerated.
mod simulation;

use std::fmt::Write;

use rudderspindle_heavy_hitters::{Key, Settings};
use simulation::traffic::Zipf;
use simulation::{BEGIN_MS, Simulation};

/// Continues a 64-bit FNV-1a hash over more bytes.
fn update_fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn a_seeded_fleet_reproduces_the_golden_transcript() {
    let settings = Settings { max_per_second: 40, ..Settings::default() };
    let zipf = Zipf::new(50, 1.1);
    let mut simulation = Simulation::new(77, 12, settings, BEGIN_MS - 2_700);
    simulation.loss_probability = 0.2;
    let (mut transcript, mut transcript_hash) = (String::new(), 0xcbf2_9ce4_8422_2325);
    for second in 0..24 {
        if second == 9 {
            simulation.restart(4, 2);
        }
        let delivered_before = simulation.delivered.len();
        simulation.run(1_000, |simulation| {
            for sender in 0..12 {
                if simulation.random_fraction() < 0.15 {
                    let (quantile, key_fraction) =
                        (simulation.random_fraction(), simulation.random_fraction());
                    let idempotency_key =
                        (key_fraction < 0.3).then_some(Key::new((key_fraction * 100.0) as u64));
                    simulation.accept(sender, zipf.stream(quantile), idempotency_key);
                }
            }
        });
        for datagram in &simulation.delivered[delivered_before..] {
            transcript_hash = update_fnv1a(transcript_hash, &[datagram.from.0 as u8, datagram.to.0 as u8]);
            transcript_hash = update_fnv1a(transcript_hash, &datagram.body);
        }
        let hot_counts: Vec<usize> =
            simulation.senders.iter().map(|sender| sender.hot_streams().count()).collect();
        let delivered_count = simulation.delivered.len() - delivered_before;
        writeln!(
            transcript,
            "{delivered_count} datagrams, digest {transcript_hash:016x}, hot {hot_counts:?}"
        )
        .unwrap();
    }
    assert_eq!(transcript, include_str!("golden/transcript.txt"));
}
