//! Compares the datagrams and stored records of a scripted run with `tests/golden/transcript.txt`, which is never regenerated.
mod simulation;

use std::fmt::Write;

use rudderspindle_placement::RuleSet;
use simulation::{Simulation, rules};

/// Continues a 64-bit FNV-1a hash with `bytes`.
fn hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Runs 24 ticks of 100 ms, and writes one line for each six ticks. Every seventh datagram is lost, and every fifth is
/// delivered twice.
fn run(simulation: &mut Simulation, lines: &mut String) {
    for _ in 0..4 {
        let (mut count, mut digest) = (0_u64, 0xcbf2_9ce4_8422_2325);
        for _ in 0..6 {
            for (from, datagram) in simulation.tick() {
                count += 1;
                digest = hash(digest, &[from as u8, datagram.to.0 as u8]);
                digest = hash(digest, &datagram.body);
                let times = [1, 2][usize::from(count % 5 == 0)] * u64::from(count % 7 != 0);
                for _ in 0..times {
                    simulation.deliver(from, &datagram);
                }
            }
            simulation.advance();
        }
        for node in &simulation.nodes {
            digest = hash(digest, node.stored_record.as_deref().unwrap_or_default());
        }
        writeln!(lines, "{count} datagrams, digest {digest:016x}").unwrap();
    }
}

fn wide(revision: u64) -> RuleSet {
    rules(revision, &["hall-a", "hall-b"])
}

#[test]
fn a_scripted_run_sends_and_stores_the_golden_bytes() {
    let mut lines = String::new();
    let mut simulation = Simulation::committed(7, &wide(1));
    simulation.ticks_ms = &[0, 100, 200, 300, 400];
    simulation.announce_ms = 300;
    for index in 0..7 {
        simulation.kill(index, index == 2);
        simulation.restart(index, &wide(1));
    }
    run(&mut simulation, &mut lines);
    simulation.reload(3, rules(2, &["hall-a"]));
    run(&mut simulation, &mut lines);
    simulation.reload(0, rules(3, &["hall-b"]));
    simulation.reload(6, wide(3));
    simulation.nodes[1].paused = true;
    run(&mut simulation, &mut lines);
    simulation.nodes[1].paused = false;
    simulation.reload(5, wide(4));
    run(&mut simulation, &mut lines);
    let acting: Vec<u32> = (0..7).map(|index| simulation.acting_zones(index).0).collect();
    writeln!(lines, "acting {acting:?}").unwrap();
    assert_eq!(lines, include_str!("golden/transcript.txt"));
}
