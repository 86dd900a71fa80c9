//! The send rate of a throttle: additive increase, multiplicative decrease.

use crate::context::Context;
use crate::interface::Millis;
use crate::window::{COUNT_WINDOW, WindowCounts};

/// Minimum of the factor by which the rate is multiplied in a reduction.
const MIN_REDUCTION_FACTOR: f64 = 0.5;
/// Maximum of the factor by which the rate is multiplied in a reduction.
const MAX_REDUCTION_FACTOR: f64 = 0.85;
/// Minimum rate, as a fraction of an equal share of the limit.
const MIN_RATE_SHARE: f64 = 0.8;
/// Minimum initial rate, in calls per second. An equal share of a small limit would be too low in a large
/// fleet, where few senders use that limit.
const MIN_INITIAL_RATE: f64 = 0.25;
/// Rejections within this time after a reduction, in ms, do not reduce the rate again, because they have the
/// same cause.
const REDUCTION_INTERVAL: Millis = 400.0;
/// Increase of the rate for each accepted call, as a fraction of the limit. In a large fleet the increase is
/// smaller for a new throttle and after a reduction, because all senders increase their rates at that time.
const INCREASE_SHARE: f64 = 0.007;

/// The rate at which calls start, in calls per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendRate {
    /// The limit on the calls of all senders together, in calls per second.
    limit: f64,
    initial: f64,
    current: f64,
    /// When the rate was last reduced.
    reduced_at: Millis,
}

impl SendRate {
    /// Creates the initial rate for a limit and a number of senders.
    pub fn new(now: Millis, limit: f64, senders: usize) -> Self {
        let initial = (limit / senders as f64).max(MIN_INITIAL_RATE).min(limit);
        Self { limit, initial, current: initial, reduced_at: now - REDUCTION_INTERVAL }
    }

    /// The limit on the calls of all senders together, in calls per second.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn current(&self) -> f64 {
        self.current
    }

    /// The greater of the current and the initial rate.
    pub fn current_or_initial(&self) -> f64 {
        self.current.max(self.initial)
    }

    /// Resets the rate to the initial rate.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }

    /// Increases the rate for an accepted call.
    pub fn increase(&mut self, context: &Context, time_scale: f64) {
        let settings = &context.settings;
        let since_reduction = ((context.now - self.reduced_at) / COUNT_WINDOW.max_span).min(1.0);
        let share = INCREASE_SHARE
            * time_scale
            * settings.rate_uncertainty()
            * settings.fleet_scale().powf(since_reduction - 1.0);
        self.current = (self.current + share * self.limit).min(self.limit);
    }

    /// Whether a rejection at `now` may reduce the rate: more than [`REDUCTION_INTERVAL`] after the last
    /// reduction.
    pub fn may_be_reduced(&self, now: Millis) -> bool {
        now - self.reduced_at > REDUCTION_INTERVAL
    }

    /// Multiplies the rate by the fraction of requests that the drop formula passes, within bounds. `counts`
    /// holds the requests and accepts of the last `span` ms.
    pub fn reduce(&mut self, now: Millis, counts: WindowCounts, span: Millis, senders: usize) {
        self.reduced_at = now;
        let sent_rate = (counts.requests * 1_000.0 / span).max(self.initial);
        let factor = counts.passed_share().clamp(MIN_REDUCTION_FACTOR, MAX_REDUCTION_FACTOR);
        let min_rate = self.limit / senders as f64 * MIN_RATE_SHARE;
        self.current = (self.current.min(sent_rate) * factor).max(min_rate);
    }
}
