//! Counts requests and accepts over a sliding window, and the drop probability that they give.

use std::collections::VecDeque;

use crate::interface::Millis;

/// K of the drop formula (no unit): the design's default.
const ACCEPTS_MULTIPLIER: f64 = 1.5;
/// The window of a throttle.
pub(crate) const COUNT_WINDOW: WindowBounds =
    WindowBounds { min_span: 6_000.0, max_span: 20_000.0, min_samples: 12.0 };

/// How far back a window reaches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowBounds {
    /// Minimum span, in ms.
    pub min_span: Millis,
    /// Maximum span, in ms, while the window holds fewer requests than `min_samples`.
    pub max_span: Millis,
    pub min_samples: f64,
}

/// Requests and accepts; whole numbers, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WindowCounts {
    pub requests: f64,
    pub accepts: f64,
}

impl WindowCounts {
    /// The probability with which a call is dropped locally, with this many more requests that were not
    /// accepted.
    pub fn drop_probability(self, more_requests: usize) -> f64 {
        let requests = self.requests + more_requests as f64;
        ((requests - ACCEPTS_MULTIPLIER * self.accepts) / (requests + 1.0)).max(0.0)
    }

    /// The share of the requests that the drop formula lets pass; above 1 if it drops none.
    pub fn passed_share(self) -> f64 {
        ACCEPTS_MULTIPLIER * self.accepts / self.requests.max(1.0)
    }
}

/// The recent requests and accepts of a throttle. Old entries are dropped when it is read.
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
    /// Adds requests and accepts.
    pub fn count(&mut self, now: Millis, requests: f64, accepts: f64) {
        let counts = WindowCounts { requests, accepts };
        self.entries.push_back(Entry { at: now, counts });
        self.total.requests += requests;
        self.total.accepts += accepts;
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops the entries that are too old, with their age multiplied by `time_scale`. Returns the counts of
    /// the others, `None` if there are none.
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

    /// The age of the oldest entry.
    pub fn span(&self, now: Millis) -> Millis {
        self.entries.front().map_or(0.0, |oldest| now - oldest.at)
    }
}

#[cfg(test)]
mod tests;
