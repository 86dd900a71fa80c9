//! The moving average of call latency and its deviation, as TCP estimates round-trip times.

use crate::interface::Millis;

/// The mean latency before the first successful call, in ms.
const INITIAL_MEAN: Millis = 400.0;
/// Weight of the newest call in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest call in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// A call is overdue after the mean latency plus this number of deviations.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Minimum time after which a call is overdue, in ms, because a short stall is not an outage.
const MIN_OVERDUE: Millis = 1_000.0;

/// The latency of the successful calls that a throttle has counted.
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
    /// Updates mean and deviation with the latency of a successful call.
    pub fn record(&mut self, latency: Millis) {
        let error = latency - self.mean;
        self.mean += error * MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
    }

    /// How long a call may be in flight before it is overdue.
    pub fn overdue_after(&self) -> Millis {
        (self.mean + OVERDUE_DEVIATIONS * self.deviation).max(MIN_OVERDUE)
    }
}
