//! Detects hot streams.
//!
//! Invariant: a stream becomes hot only if its lower bound exceeds the hot fraction of the upper bound of all messages. It
//! stays hot until its upper bound has been below half of that fraction of the lower bound of all messages for a window
//! without gaps. Missing reports lower the lower bounds, raise the upper bounds and leave gaps, so they cause neither.
//!
//! At most `1 / fraction` streams are hot: the lower bounds of one window add up to at most the upper bound of all messages.
//! If one more stream exceeds the fraction, an earlier one has fallen below it and is removed.

use std::collections::BTreeMap;

use crate::fleet_view::FleetView;
use crate::key::Key;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// Fraction of the hot threshold below which a hot stream cools down: views of different senders differ by less.
const COOL_FACTOR: f64 = 0.5;

/// Consecutive views without a gap in which a stream was cool, by the slices after their windows.
#[derive(Clone, Copy, Debug)]
struct CoolPeriod {
    first: Slice,
    last: Slice,
}

/// The state of a hot stream.
#[derive(Clone, Copy, Debug, Default)]
struct HotStream {
    cool: Option<CoolPeriod>,
}

impl HotStream {
    /// Records a view in which the stream was cool; returns whether it stays hot.
    fn cool_down(&mut self, slice: Slice) -> bool {
        // Windows that do not overlap or touch leave a gap.
        let continued = self.cool.filter(|period| slice.distance(period.last) <= SLICES_PER_WINDOW);
        let first = continued.map_or(slice, |period| period.first);
        self.cool = Some(CoolPeriod { first, last: slice });
        slice < first.plus(SLICES_PER_WINDOW)
    }
}

/// Decides view by view which streams are hot.
#[derive(Clone, Debug)]
pub struct HotStreamDetector {
    hot_fraction: f64,
    hot: BTreeMap<Key, HotStream>,
}

impl HotStreamDetector {
    /// A detector without hot streams; a stream is hot above this fraction of all messages.
    #[must_use]
    pub fn new(hot_fraction: f64) -> Self {
        Self { hot_fraction, hot: BTreeMap::new() }
    }

    /// Marks the streams as hot that exceed the fraction in a view.
    pub fn detect(&mut self, view: &FleetView) {
        let threshold = self.hot_fraction * view.messages().max as f64;
        for total in view.streams().iter().filter(|total| total.min as f64 > threshold) {
            if !self.hot.contains_key(&total.key) {
                self.evict_lightest_if_full(view);
                self.hot.insert(total.key, HotStream::default());
            }
        }
    }

    /// Removes the streams that have been cool for a window, given the last and most precise view of a slice.
    pub fn expire(&mut self, view: &FleetView) {
        let slice = view.slices().end;
        let threshold = COOL_FACTOR * self.hot_fraction * view.messages().min as f64;
        self.hot.retain(|key, stream| {
            let max = view.stream(*key).max;
            if max as f64 >= threshold && max > 0 {
                stream.cool = None;
                return true;
            }
            stream.cool_down(slice)
        });
    }

    /// Whether a stream is hot.
    #[must_use]
    pub fn is_hot(&self, stream: Key) -> bool {
        self.hot.contains_key(&stream)
    }

    /// The hot streams, in the order of their keys.
    pub fn hot_streams(&self) -> impl Iterator<Item = Key> {
        self.hot.keys().copied()
    }

    /// Removes the lightest hot stream if the maximum number is reached.
    fn evict_lightest_if_full(&mut self, view: &FleetView) {
        let max_hot = (1.0 / self.hot_fraction) as usize;
        let weight = |key: &Key| (view.stream(*key).min, *key);
        if self.hot.len() >= max_hot
            && let Some(lightest) = self.hot.keys().copied().min_by_key(weight)
        {
            self.hot.remove(&lightest);
        }
    }
}
