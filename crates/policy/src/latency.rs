//! How long calls take: mean and deviation, smoothed. No decision.

use crate::interface::Millis;

/// Assumed before anything was seen, ms.
const FIRST: Millis = 400.0;
/// Weight of the newest call in the mean, and in the deviation.
const WEIGHTS: (f64, f64) = (1.0 / 8.0, 1.0 / 4.0);

/// Of the answered calls through a gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    mean: Millis,
    deviation: Millis,
}

impl Default for Latency {
    fn default() -> Self {
        Self { mean: FIRST, deviation: FIRST / 2.0 }
    }
}

impl Latency {
    /// A call was answered after so long.
    pub fn took(&mut self, time: Millis) {
        let off = time - self.mean;
        self.mean += off * WEIGHTS.0;
        self.deviation += (off.abs() - self.deviation) * WEIGHTS.1;
    }

    /// The mean and so many deviations.
    pub fn within(&self, deviations: f64) -> Millis {
        self.mean + deviations * self.deviation
    }
}
