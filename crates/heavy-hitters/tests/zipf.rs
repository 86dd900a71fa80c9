//! The experiment: 300 senders, 10,000 streams by Zipf (1.1), 64 entries, a fifth of all notes lost.

mod world;

use rudderspindle_heavy_hitters::{Key, Settings};
use world::{BEGIN_MS, STEP_MS, World, Zipf};

const SENDERS: usize = 300;
/// What a sender is handed, messages a second, in the mean.
const PER_SECOND: f64 = 30.0;
/// The most that a door lets in: four times the mean.
const MOST_PER_SECOND: u64 = 120;

fn settings(part: f64) -> Settings {
    Settings { part, most_per_second: MOST_PER_SECOND, ..Settings::default() }
}

/// Hands each sender its messages of a step: of a stream of its own with this part, else by Zipf.
fn hand_in(world: &mut World, zipf: &Zipf, storm: f64) {
    for to in 0..SENDERS {
        // From a third of the mean to five thirds, by the sender's number.
        let own = PER_SECOND * (1.0 + 2.0 * (to % 3) as f64) / 3.0;
        if world.chance() < own * STEP_MS as f64 / 1_000.0 {
            let storm = world.chance() < storm;
            let point = world.chance();
            world.hand_in(to, if storm { Key::new(1 << 20) } else { zipf.stream(point) }, None);
        }
    }
}

#[test]
fn every_stream_over_twice_the_part_is_found_within_3_s_of_a_start_and_every_interval_holds_the_truth() {
    let zipf = Zipf::new(10_000, 1.1);
    // The first three streams have 0.15, 0.07 and 0.045 of all.
    for (seed, begin) in [(1, 0), (2, 990), (3, 1_730)] {
        let part = 0.02;
        let mut world = World::new(seed, SENDERS, settings(part), BEGIN_MS + begin);
        world.lost = 0.2;
        world.run(3_000, |world| hand_in(world, &zipf, 0.0));
        for stream in 1..=3 {
            let found = world.found(Key::new(stream));
            println!("seed {seed}, began {begin} ms into a pane: stream {stream} found by {found} after 3 s");
            assert!(found >= SENDERS * 95 / 100, "stream {stream} found by {found}");
        }
        world.run(2_000, |world| hand_in(world, &zipf, 0.0));
        let found = [1, 2, 3].map(|stream| world.found(Key::new(stream)));
        println!("seed {seed}: the three found by {found:?} a pane later");
        assert_eq!(found, [SENDERS; 3], "one pane later by all");
        let (notes, bytes) = (world.notes, world.bytes);
        let seconds = 12;
        for _ in 0..seconds / 4 {
            world.run(4_000, |world| hand_in(world, &zipf, 0.0));
            assert_eq!(world.check(), SENDERS);
        }
        // Nothing is hot that is not: streams under half the part in truth.
        let truth = world.of(0..u64::MAX);
        let all: u64 = truth.values().sum();
        for sender in &world.senders {
            assert!(sender.hot().all(|key| truth[&key] as f64 > part / 2.0 * all as f64));
        }
        let each = (seconds * SENDERS as u64) as f64;
        let (notes, bytes) = ((world.notes - notes) as f64 / each, (world.bytes - bytes) as f64 / each);
        println!("seed {seed}: {notes:.2} notes and {bytes:.0} bytes a second from each sender");
        assert!(notes < 3.0 && bytes < 660.0, "{notes:.2} notes, {bytes:.0} bytes a second from each");
    }
}

#[test]
fn a_storm_in_warm_traffic_is_found_by_all_within_3_s_of_being_over_twice_the_part() {
    let zipf = Zipf::new(10_000, 1.1);
    let settings = settings(0.1);
    let storm = Key::new(1 << 20);
    let mut world = World::new(4, SENDERS, settings, BEGIN_MS + 400);
    world.lost = 0.2;
    world.run(12_000, |world| hand_in(world, &zipf, 0.0));
    let mut since = None;
    for _ in 0..20 * 1_000 / STEP_MS {
        world.step(|world| hand_in(world, &zipf, 0.6));
        let pane = world.now / settings.pane_ms();
        let truth = world.of(pane - 4..pane + 1);
        let all: u64 = truth.values().sum();
        if since.is_none() && truth.get(&storm).copied().unwrap_or(0) as f64 > 0.2 * all as f64 {
            since = Some(world.now);
        }
        if world.found(storm) == SENDERS {
            break;
        }
    }
    let since = since.expect("three of five messages are the storm's");
    println!("found by all {} ms after it was over twice the part", world.now - since);
    assert!(world.found(storm) == SENDERS && world.now - since <= 3_000);
    assert_eq!(world.check(), SENDERS);
}
