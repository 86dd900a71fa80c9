//! Counts requests and accepts over a sliding window. No decision.

use std::collections::VecDeque;

use crate::interface::Millis;

/// How far back a window reaches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowBounds {
    /// At least, ms.
    pub min_span: Millis,
    /// At most, ms, while it holds fewer requests than `min_samples`.
    pub max_span: Millis,
    pub min_samples: f64,
}

/// Requests and accepts; whole numbers, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WindowCounts {
    pub requests: f64,
    pub accepts: f64,
}

/// The recent requests and accepts of a throttle. Entries are dropped as it is read.
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

    /// Forgets all entries.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops the entries that are too old, with time running `time_scale` times as fast; the counts of the
    /// rest, if there is any.
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
