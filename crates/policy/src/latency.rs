//! The mean latency of calls and its deviation, smoothed. No decision.

use crate::interface::Millis;

/// The mean before any call was answered, ms.
const INITIAL_MEAN: Millis = 400.0;
/// Weight of the newest call in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest call in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// The latency of the answered calls through a throttle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    mean: Millis,
    deviation: Millis,
}

impl Default for Latency {
    fn default() -> Self {
        Self { mean: INITIAL_MEAN, deviation: INITIAL_MEAN / 2.0 }
    }
}

impl Latency {
    /// A call was answered after so long.
    pub fn record(&mut self, latency: Millis) {
        let error = latency - self.mean;
        self.mean += error * MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
    }

    /// The mean and so many deviations.
    pub fn upper_bound(&self, deviations: f64) -> Millis {
        self.mean + deviations * self.deviation
    }
}
