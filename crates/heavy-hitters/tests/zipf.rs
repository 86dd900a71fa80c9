//! 300 senders, 10,000 streams by Zipf's law (1.1), 64 entries, a fifth of all datagrams lost.

mod simulation;

use rudderspindle_heavy_hitters::{Key, Settings, Slice};
use simulation::traffic::Zipf;
use simulation::{BEGIN_MS, STEP_MS, Simulation};

const SENDERS: usize = 300;
/// Mean rate of a sender, in messages a second.
const PER_SECOND: f64 = 30.0;
/// Maximum rate of a sender's admission: four times the mean.
const MAX_PER_SECOND: u64 = 120;

fn settings(hot_fraction: f64) -> Settings {
    Settings { hot_fraction, max_per_second: MAX_PER_SECOND, ..Settings::default() }
}

/// Each sender accepts its messages of a step: of the heavy stream with this probability, else by Zipf's law.
fn accept(simulation: &mut Simulation, zipf: &Zipf, heavy: f64) {
    for sender in 0..SENDERS {
        // From a third of the mean to five thirds, by the sender's number.
        let rate = PER_SECOND * (1.0 + 2.0 * (sender % 3) as f64) / 3.0;
        if simulation.chance() < rate * STEP_MS as f64 / 1_000.0 {
            let heavy = simulation.chance() < heavy;
            let point = simulation.chance();
            simulation.accept(sender, if heavy { Key::new(1 << 20) } else { zipf.stream(point) }, None);
        }
    }
}

#[test]
fn every_stream_over_twice_the_hot_fraction_is_found_within_3_s_of_a_start_and_every_interval_holds_the_truth()
 {
    let zipf = Zipf::new(10_000, 1.1);
    // The first three streams have 0.15, 0.07 and 0.045 of all messages.
    for (seed, begin_ms) in [(1, 0), (2, 990), (3, 1_730)] {
        let hot_fraction = 0.02;
        let mut simulation = Simulation::new(seed, SENDERS, settings(hot_fraction), BEGIN_MS + begin_ms);
        simulation.loss = 0.2;
        simulation.run(3_000, |simulation| accept(simulation, &zipf, 0.0));
        for stream in 1..=3 {
            let found = simulation.count_finding(Key::new(stream));
            println!(
                "seed {seed}, began {begin_ms} ms into a slice: stream {stream} found by {found} after 3 s"
            );
            assert!(found >= SENDERS * 95 / 100, "stream {stream} found by {found}");
        }
        simulation.run(2_000, |simulation| accept(simulation, &zipf, 0.0));
        let found = [1, 2, 3].map(|stream| simulation.count_finding(Key::new(stream)));
        println!("seed {seed}: the three found by {found:?} a slice later");
        assert_eq!(found, [SENDERS; 3], "one slice later by all");
        let (datagrams_before, bytes_before) = (simulation.datagrams_sent, simulation.bytes_sent);
        let seconds = 12;
        for _ in 0..seconds / 4 {
            simulation.run(4_000, |simulation| accept(simulation, &zipf, 0.0));
            assert_eq!(simulation.check_views(), SENDERS);
        }
        // No false positives: streams that are below half of the hot fraction in truth.
        let truth = simulation.accepted_in(Slice(0)..Slice(u64::MAX));
        let all: u64 = truth.values().sum();
        for sender in &simulation.senders {
            assert!(sender.hot_streams().all(|key| truth[&key] as f64 > hot_fraction / 2.0 * all as f64));
        }
        let sender_seconds = (seconds * SENDERS as u64) as f64;
        let datagram_rate = (simulation.datagrams_sent - datagrams_before) as f64 / sender_seconds;
        let byte_rate = (simulation.bytes_sent - bytes_before) as f64 / sender_seconds;
        let measured =
            format!("{datagram_rate:.2} datagrams and {byte_rate:.0} bytes a second from each sender");
        println!("seed {seed}: {measured}");
        assert!(datagram_rate < 3.0 && byte_rate < 660.0, "{measured}");
    }
}

#[test]
fn a_storm_in_warm_traffic_is_found_by_all_within_3_s_of_being_over_twice_the_hot_fraction() {
    let zipf = Zipf::new(10_000, 1.1);
    let settings = settings(0.1);
    let heavy = Key::new(1 << 20);
    let mut simulation = Simulation::new(4, SENDERS, settings, BEGIN_MS + 400);
    simulation.loss = 0.2;
    simulation.run(12_000, |simulation| accept(simulation, &zipf, 0.0));
    let mut over_since_ms = None;
    for _ in 0..20 * 1_000 / STEP_MS {
        simulation.step(|simulation| accept(simulation, &zipf, 0.6));
        let Slice(current) = simulation.current_slice();
        let truth = simulation.accepted_in(Slice(current - 4)..Slice(current + 1));
        let all: u64 = truth.values().sum();
        if over_since_ms.is_none() && truth.get(&heavy).copied().unwrap_or(0) as f64 > 0.2 * all as f64 {
            over_since_ms = Some(simulation.now_ms);
        }
        if simulation.count_finding(heavy) == SENDERS {
            break;
        }
    }
    let over_since_ms = over_since_ms.expect("three of five messages are of the heavy stream");
    let took_ms = simulation.now_ms - over_since_ms;
    println!("found by all {took_ms} ms after it was over twice the hot fraction");
    assert!(simulation.count_finding(heavy) == SENDERS && took_ms <= 3_000);
    assert_eq!(simulation.check_views(), SENDERS);
}
