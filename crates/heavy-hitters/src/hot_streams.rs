//! Which streams are hot.
//!
//! Invariant: a stream becomes hot only when its lower bound is over the fraction of the upper bound of all messages, and
//! ceases to be only when its upper bound has been under half of that fraction of the lower bound of all for a window, seen
//! without a gap. Silence lowers lower bounds, raises upper bounds and leaves gaps: it brings about neither.
//!
//! At most `1 / fraction` streams are hot: lower bounds of one window add up to no more than the upper bound of all, so where
//! one more has come over the fraction, one of those before is under it, and gives way.

use std::collections::BTreeMap;

use crate::fleet_view::FleetView;
use crate::key::Key;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// A stream ceases to be hot under this part of what makes it hot; between the two is what views differ by.
const COOL_FACTOR: f64 = 0.5;

/// Views in a row, without a gap, in which a stream was cool, by the slices after their windows.
#[derive(Clone, Copy, Debug)]
struct CoolPeriod {
    first: Slice,
    last: Slice,
}

/// What is known of a hot stream.
#[derive(Clone, Copy, Debug, Default)]
struct HotStream {
    cool: Option<CoolPeriod>,
}

impl HotStream {
    /// Takes in a view in which the stream was cool; whether it stays hot.
    fn cool_down(&mut self, slice: Slice) -> bool {
        // Two windows that do not touch leave out what was between them.
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
    /// A detector without hot streams, for which hot is what is over this fraction of all messages.
    #[must_use]
    pub fn new(hot_fraction: f64) -> Self {
        Self { hot_fraction, hot: BTreeMap::new() }
    }

    /// Takes in a view: streams that it shows to be over the fraction are hot from now on.
    pub fn detect(&mut self, view: &FleetView) {
        let threshold = self.hot_fraction * view.messages().max as f64;
        for total in view.streams().iter().filter(|total| total.min as f64 > threshold) {
            if !self.hot.contains_key(&total.key) {
                self.make_room(view);
                self.hot.insert(total.key, HotStream::default());
            }
        }
    }

    /// Takes in the last and sharpest view of a slice: streams that were cool for a window are hot no longer.
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

    /// Drops the lightest hot stream if there are as many as can be.
    fn make_room(&mut self, view: &FleetView) {
        let max_hot = (1.0 / self.hot_fraction) as usize;
        let weight = |key: &Key| (view.stream(*key).min, *key);
        if self.hot.len() >= max_hot
            && let Some(lightest) = self.hot.keys().copied().min_by_key(weight)
        {
            self.hot.remove(&lightest);
        }
    }
}
