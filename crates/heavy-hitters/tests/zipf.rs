//! Detection in a fleet of 300 senders with 10,000 streams by Zipf's law (exponent 1.1), sketches of 64
//! entries, and a fifth of all datagrams lost.

mod simulation;

use rudderspindle_heavy_hitters::{Key, Settings, Slice};
use simulation::traffic::Zipf;
use simulation::{BEGIN_MS, STEP_MS, Simulation};

const SENDERS: usize = 300;
/// Mean rate of a sender, in messages a second.
const MEAN_RATE: f64 = 30.0;
/// Maximum rate that a sender accepts, in messages a second: four times the mean.
const MAX_PER_SECOND: u64 = 120;

fn settings(hot_fraction: f64) -> Settings {
    Settings { hot_fraction, max_per_second: MAX_PER_SECOND, ..Settings::default() }
}

/// Lets each sender accept its messages of one step: of the heavy stream with the probability
/// `heavy_probability`, otherwise of a stream by Zipf's law.
fn accept_messages(simulation: &mut Simulation, zipf: &Zipf, heavy_probability: f64) {
    for sender in 0..SENDERS {
        // The rate is a third, three thirds or five thirds of the mean, depending on the index of the sender.
        let rate = MEAN_RATE * (1.0 + 2.0 * (sender % 3) as f64) / 3.0;
        if simulation.random_fraction() < rate * STEP_MS as f64 / 1_000.0 {
            let is_heavy = simulation.random_fraction() < heavy_probability;
            let quantile = simulation.random_fraction();
            simulation.accept(sender, if is_heavy { Key::new(1 << 20) } else { zipf.stream(quantile) }, None);
        }
    }
}

/// Streams over twice the hot fraction are hot at 95 % of the senders 3 s after a start and at all senders a slice
/// later, and all intervals contain the true counts.
#[test]
fn heavy_streams_are_detected_within_3_s_of_a_start() {
    let zipf = Zipf::new(10_000, 1.1);
    // The first three streams have the fractions 0.15, 0.07 and 0.045 of all messages.
    for (seed, begin_ms) in [(1, 0), (2, 990), (3, 1_730)] {
        let hot_fraction = 0.02;
        let mut simulation = Simulation::new(seed, SENDERS, settings(hot_fraction), BEGIN_MS + begin_ms);
        simulation.loss_probability = 0.2;
        simulation.run(3_000, |simulation| accept_messages(simulation, &zipf, 0.0));
        for stream in 1..=3 {
            let detecting_senders = simulation.count_detecting_senders(Key::new(stream));
            println!(
                "seed {seed}, started {begin_ms} ms into a slice: stream {stream} is hot at {detecting_senders} after 3 s"
            );
            assert!(
                detecting_senders >= SENDERS * 95 / 100,
                "stream {stream} is hot at {detecting_senders} of {SENDERS}"
            );
        }
        simulation.run(2_000, |simulation| accept_messages(simulation, &zipf, 0.0));
        let detecting_senders = [1, 2, 3].map(|stream| simulation.count_detecting_senders(Key::new(stream)));
        println!("seed {seed}: the three streams are hot at {detecting_senders:?} senders a slice later");
        assert_eq!(
            detecting_senders, [SENDERS; 3],
            "streams 1 to 3 must be hot at all senders a slice later"
        );
        let (datagrams_before, bytes_before) = (simulation.datagrams_sent, simulation.bytes_sent);
        let seconds = 12;
        for _ in 0..seconds / 4 {
            simulation.run(4_000, |simulation| accept_messages(simulation, &zipf, 0.0));
            assert_eq!(simulation.check_views(), SENDERS);
        }
        // There are no false positives: no hot stream has less than half of the hot fraction by the true counts.
        let true_counts = simulation.accepted_in(Slice(0)..Slice(u64::MAX));
        let true_total: u64 = true_counts.values().sum();
        for sender in &simulation.senders {
            assert!(
                sender
                    .hot_streams()
                    .all(|key| true_counts[&key] as f64 > hot_fraction / 2.0 * true_total as f64)
            );
        }
        let sender_seconds = (seconds * SENDERS as u64) as f64;
        let datagram_rate = (simulation.datagrams_sent - datagrams_before) as f64 / sender_seconds;
        let byte_rate = (simulation.bytes_sent - bytes_before) as f64 / sender_seconds;
        let measured_rates =
            format!("{datagram_rate:.2} datagrams and {byte_rate:.0} bytes a second from each sender");
        println!("seed {seed}: {measured_rates}");
        assert!(datagram_rate < 3.0 && byte_rate < 660.0, "{measured_rates}");
    }
}

/// A stream that begins in steady traffic is hot at all senders within 3 s of exceeding twice the hot fraction.
#[test]
fn a_new_heavy_stream_is_detected_within_3_s() {
    let zipf = Zipf::new(10_000, 1.1);
    let settings = settings(0.1);
    let heavy_stream = Key::new(1 << 20);
    let mut simulation = Simulation::new(4, SENDERS, settings, BEGIN_MS + 400);
    simulation.loss_probability = 0.2;
    simulation.run(12_000, |simulation| accept_messages(simulation, &zipf, 0.0));
    let mut exceeded_at_ms = None;
    for _ in 0..20 * 1_000 / STEP_MS {
        simulation.step(|simulation| accept_messages(simulation, &zipf, 0.6));
        let Slice(current) = simulation.current_slice();
        let true_counts = simulation.accepted_in(Slice(current - 4)..Slice(current + 1));
        let true_total: u64 = true_counts.values().sum();
        if exceeded_at_ms.is_none()
            && true_counts.get(&heavy_stream).copied().unwrap_or(0) as f64 > 0.2 * true_total as f64
        {
            exceeded_at_ms = Some(simulation.now_ms);
        }
        if simulation.count_detecting_senders(heavy_stream) == SENDERS {
            break;
        }
    }
    let exceeded_at_ms = exceeded_at_ms
        .expect("the stream exceeds twice the hot fraction because it has three of five messages");
    let detection_ms = simulation.now_ms - exceeded_at_ms;
    println!("the stream is hot at all senders {detection_ms} ms after it exceeded twice the hot fraction");
    assert!(simulation.count_detecting_senders(heavy_stream) == SENDERS && detection_ms <= 3_000);
    assert_eq!(simulation.check_views(), SENDERS);
}
