//! Estimates an arrival rate from an exponentially decaying count.

/// A time span or a point in time on a monotonic clock, in milliseconds.
type Millis = f64;

/// Time constant of the decay, in milliseconds.
const DECAY_TIME: Millis = 1_000.0;

/// The estimate: a count of arrived messages that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// The count at `updated_at`; it decays by a factor of e in each [`DECAY_TIME`].
    count: f64,
    /// When `count` was last updated.
    updated_at: Millis,
}

impl ArrivalRate {
    /// Counts one arrival at `now`, a time in milliseconds on a monotonic clock.
    pub fn record(&mut self, now: Millis) {
        *self = Self { count: self.expected_within(now, DECAY_TIME) + 1.0, updated_at: now };
    }

    /// Expected number of arrivals from `now` until `span` later, both in milliseconds, at the estimated rate.
    pub fn expected_within(&self, now: Millis, span: Millis) -> f64 {
        self.count * (-(now - self.updated_at) / DECAY_TIME).exp() * span / DECAY_TIME
    }
}

#[cfg(test)]
mod tests;
