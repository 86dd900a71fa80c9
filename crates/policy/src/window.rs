//! Counts over a sliding window. No decision.

use std::collections::VecDeque;

use crate::interface::Millis;

/// How far back a window reaches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowBounds {
    /// At least, ms.
    pub short: Millis,
    /// And up to this, ms, while it holds fewer requests than `min_samples`.
    pub long: Millis,
    pub min_samples: f64,
}

/// Requests and accepts of late. What is in it grows with the calls of one reach and is dropped as it is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// When, requests, accepts; and the sum of them, which whole numbers keep exact.
    events: VecDeque<(Millis, f64, f64)>,
    sum: (f64, f64),
}

impl Window {
    pub fn count(&mut self, now: Millis, requests: f64, accepts: f64) {
        self.events.push_back((now, requests, accepts));
        self.sum = (self.sum.0 + requests, self.sum.1 + accepts);
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Drops what is too old, time running so many times as fast; requests and accepts of the rest, if there is any.
    pub fn sums(&mut self, now: Millis, time_scale: f64, reach: WindowBounds) -> Option<(f64, f64)> {
        while let Some(&(from, requests, accepts)) = self.events.front() {
            let min_samples = self.sum.0 - requests < reach.min_samples;
            let age = (now - from) * time_scale;
            if age < reach.short || (min_samples && age < reach.long) {
                return Some(self.sum);
            }
            self.sum = (self.sum.0 - requests, self.sum.1 - accepts);
            self.events.pop_front();
        }
        None
    }

    /// How long ago the oldest of them was.
    pub fn span(&self, now: Millis) -> Millis {
        self.events.front().map_or(0.0, |event| now - event.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_window_reaches_farther_back_while_it_holds_few_requests() {
        let reach = WindowBounds { short: 100.0, long: 300.0, min_samples: 2.0 };
        let mut window = Window::default();
        for at in [0.0, 150.0, 250.0] {
            window.count(at, 1.0, 1.0);
        }
        // At 260 two requests are left without the first one: it is older than the short reach, and goes.
        assert_eq!(window.sums(260.0, 1.0, reach), Some((2.0, 2.0)));
        assert_eq!(window.span(260.0), 110.0);
        // The one of 150 stays while only one would be left, until the long reach ends.
        assert_eq!(window.sums(449.0, 1.0, reach), Some((2.0, 2.0)));
        assert_eq!(window.sums(450.0, 1.0, reach), Some((1.0, 1.0)));
        // Time that runs twice as fast ends it sooner.
        assert_eq!(window.sums(450.0, 2.0, reach), None);
    }
}
