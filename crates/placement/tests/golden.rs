//! All datagrams and records of a scripted run against `tests/golden/transcript.txt`, which is never regenerated.
mod world;

use std::fmt::Write;

use rudderspindle_placement::Rules;
use world::{World, rules};

/// FNV-1a, 64 bits.
fn hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Runs for 4 s; every seventh datagram is lost and every fifth comes twice. One line a second.
fn run(world: &mut World, lines: &mut String) {
    for _ in 0..4 {
        let (mut count, mut digest) = (0_u64, 0xcbf2_9ce4_8422_2325);
        for _ in 0..6 {
            for (from, letter) in world.tick() {
                count += 1;
                digest = hash(digest, &[from as u8, letter.to as u8]);
                digest = hash(digest, &letter.body);
                let times = [1, 2][usize::from(count % 5 == 0)] * u64::from(count % 7 != 0);
                for _ in 0..times {
                    world.deliver(from, &letter);
                }
            }
            world.advance();
        }
        for node in &world.nodes {
            digest = hash(digest, node.folder.as_deref().unwrap_or_default());
        }
        writeln!(lines, "{} datagrams, digest {digest:016x}", count).unwrap();
    }
}

fn wide(revision: u64) -> Rules {
    rules(revision, &["hall-a", "hall-b"])
}

#[test]
fn a_scripted_fleet_sends_and_stores_the_same_bytes_as_ever() {
    let mut lines = String::new();
    let mut world = World::in_force(7, &wide(1));
    world.times = &[0, 100, 200, 300, 400];
    world.announce_ms = 300;
    for i in 0..7 {
        world.kill(i, i == 2);
        world.restart(i, &wide(1));
    }
    run(&mut world, &mut lines);
    world.reload(3, rules(2, &["hall-a"]));
    run(&mut world, &mut lines);
    world.reload(0, rules(3, &["hall-b"]));
    world.reload(6, wide(3));
    world.nodes[1].stopped = true;
    run(&mut world, &mut lines);
    world.nodes[1].stopped = false;
    world.reload(5, wide(4));
    run(&mut world, &mut lines);
    let acting: Vec<u32> = (0..7).map(|i| world.acts(i).0).collect();
    writeln!(lines, "acting {acting:?}").unwrap();
    assert_eq!(lines, include_str!("golden/transcript.txt"));
}
