//! The messages that the simulated senders accept.

use rudderspindle_heavy_hitters::Key;

use super::{STEP_MS, Simulation};

/// The stream whose detection the tests check.
pub const HEAVY_STREAM: Key = Key::new(1 << 20);

/// Lets each sender accept, for one step, messages of a hundred equal streams at `base_rate`. The senders for which
/// `accepts_heavy` is true also accept messages of [`HEAVY_STREAM`] at `heavy_rate`. Rates are in messages a second.
pub fn accept_messages(
    simulation: &mut Simulation,
    base_rate: f64,
    heavy_rate: f64,
    accepts_heavy: impl Fn(usize) -> bool,
) {
    let step_seconds = STEP_MS as f64 / 1_000.0;
    for sender in 0..simulation.senders.len() {
        if simulation.random_fraction() < base_rate * step_seconds {
            let stream = Key::new((simulation.random_fraction() * 100.0) as u64);
            simulation.accept(sender, stream, None);
        }
        if accepts_heavy(sender) && simulation.random_fraction() < heavy_rate * step_seconds {
            simulation.accept(sender, HEAVY_STREAM, None);
        }
    }
}

/// Streams whose frequencies follow Zipf's law.
pub struct Zipf {
    /// Cumulative probabilities of the streams, in descending order of their frequencies.
    cumulative: Vec<f64>,
}

impl Zipf {
    /// Creates the distribution of `stream_count` streams; a stream's frequency is proportional to `rank^-exponent`.
    pub fn new(stream_count: usize, exponent: f64) -> Self {
        let weights = (1..=stream_count).map(|rank| (rank as f64).powf(-exponent));
        let mut cumulative: Vec<f64> = weights
            .scan(0.0, |sum, weight| {
                *sum += weight;
                Some(*sum)
            })
            .collect();
        let total_weight = cumulative.last().copied().unwrap_or(1.0);
        for sum in &mut cumulative {
            *sum /= total_weight;
        }
        Self { cumulative }
    }

    /// The stream at a quantile from 0 to 1.
    pub fn stream(&self, quantile: f64) -> Key {
        Key::new(self.cumulative.partition_point(|sum| *sum < quantile) as u64 + 1)
    }
}
