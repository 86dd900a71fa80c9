//! The messages that senders accept.

use rudderspindle_heavy_hitters::Key;

use super::{STEP_MS, Simulation};

/// The heavy stream.
pub const HEAVY_STREAM: Key = Key::new(1 << 20);

/// Each sender accepts messages of a hundred equal streams; the chosen senders also accept messages of the heavy one.
pub fn accept(simulation: &mut Simulation, base: f64, heavy: f64, chosen: impl Fn(usize) -> bool) {
    let step_seconds = STEP_MS as f64 / 1_000.0;
    for sender in 0..simulation.senders.len() {
        if simulation.chance() < base * step_seconds {
            let stream = Key::new((simulation.chance() * 100.0) as u64);
            simulation.accept(sender, stream, None);
        }
        if chosen(sender) && simulation.chance() < heavy * step_seconds {
            simulation.accept(sender, HEAVY_STREAM, None);
        }
    }
}

/// Streams by Zipf's law.
pub struct Zipf {
    /// Cumulative probabilities of the streams.
    cumulative: Vec<f64>,
}

impl Zipf {
    pub fn new(streams: usize, exponent: f64) -> Self {
        let weights = (1..=streams).map(|rank| (rank as f64).powf(-exponent));
        let mut cumulative: Vec<f64> = weights
            .scan(0.0, |sum, weight| {
                *sum += weight;
                Some(*sum)
            })
            .collect();
        let all = cumulative.last().copied().unwrap_or(1.0);
        for sum in &mut cumulative {
            *sum /= all;
        }
        Self { cumulative }
    }

    /// The stream at this quantile, from 0 to 1.
    pub fn stream(&self, point: f64) -> Key {
        Key::new(self.cumulative.partition_point(|sum| *sum < point) as u64 + 1)
    }
}
