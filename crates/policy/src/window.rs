//! A sliding window that counts requests and accepts, and the drop probability that is calculated from the
//! counts.

use std::collections::VecDeque;

use crate::interface::Millis;

/// Factor K of the drop formula (no unit). Up to K requests for each accept no call is dropped.
const ACCEPTS_MULTIPLIER: f64 = 1.5;
/// The window of a throttle's counts.
pub(crate) const COUNT_WINDOW: WindowBounds =
    WindowBounds { min_span: 6_000.0, max_span: 20_000.0, min_samples: 12.0 };

/// Bounds of the time that a window covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowBounds {
    /// Minimum span, in ms, however many requests the window holds.
    pub min_span: Millis,
    /// Maximum span, in ms, while the window holds fewer requests than `min_samples`.
    pub max_span: Millis,
    /// Number of requests that limits the span to `min_span`.
    pub min_samples: f64,
}

/// Numbers of requests and accepts. The values are whole numbers, so sums and differences are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WindowCounts {
    pub requests: f64,
    pub accepts: f64,
}

impl WindowCounts {
    /// The probability with which a call is dropped locally; `unaccepted_requests` are counted in addition.
    pub fn drop_probability(self, unaccepted_requests: usize) -> f64 {
        let requests = self.requests + unaccepted_requests as f64;
        ((requests - ACCEPTS_MULTIPLIER * self.accepts) / (requests + 1.0)).max(0.0)
    }

    /// The fraction of the requests that the drop formula passes; above 1 if it drops none.
    pub fn passed_share(self) -> f64 {
        ACCEPTS_MULTIPLIER * self.accepts / self.requests.max(1.0)
    }
}

/// The recent requests and accepts of a throttle. Outdated entries are removed when the counts are read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    entries: VecDeque<Entry>,
    total: WindowCounts,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Millis,
    counts: WindowCounts,
}

impl Window {
    /// Adds requests and accepts at this time.
    pub fn add(&mut self, now: Millis, requests: f64, accepts: f64) {
        let counts = WindowCounts { requests, accepts };
        self.entries.push_back(Entry { at: now, counts });
        self.total.requests += requests;
        self.total.accepts += accepts;
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Removes the outdated entries and returns the total of the others; `None` if there are none. The age of
    /// entries is multiplied by `time_scale`.
    pub fn counts(&mut self, now: Millis, time_scale: f64, bounds: WindowBounds) -> Option<WindowCounts> {
        while let Some(&oldest) = self.entries.front() {
            let has_few_others = self.total.requests - oldest.counts.requests < bounds.min_samples;
            let age = (now - oldest.at) * time_scale;
            if age < bounds.min_span || (has_few_others && age < bounds.max_span) {
                return Some(self.total);
            }
            self.total.requests -= oldest.counts.requests;
            self.total.accepts -= oldest.counts.accepts;
            self.entries.pop_front();
        }
        None
    }

    /// The age of the oldest entry; 0 if there are no entries.
    pub fn span(&self, now: Millis) -> Millis {
        self.entries.front().map_or(0.0, |oldest| now - oldest.at)
    }
}

#[cfg(test)]
mod tests;
