//! Detection of hot streams: those with a large fraction of all messages of the fleet.
//!
//! Invariant: a stream becomes hot only if its lower bound exceeds the hot fraction of the upper bound of all
//! messages. It stops being hot once its upper bound has been below the cool threshold (half the hot fraction,
//! times the lower bound of all messages) in every view of one full window without gaps. Missing reports make lower
//! bounds smaller and upper bounds larger and leave gaps, so missing reports can neither make a stream hot nor make a
//! hot stream cool.
//!
//! At most `1 / fraction` streams are hot because the lower bounds of one window add up to at most the upper
//! bound of all messages. If one more stream exceeds the hot fraction, at least one of the hot streams no longer
//! exceeds it, and the hot stream with the smallest lower bound is removed.

use std::collections::BTreeMap;

use crate::fleet_view::FleetView;
use crate::key::Key;
use crate::slice::{SLICES_PER_WINDOW, Slice};

/// Fraction of the hot threshold below which a stream is cool. Views of different senders differ by less than the gap
/// between the two thresholds, so a stream does not alternate between hot and not hot.
const COOL_FACTOR: f64 = 0.5;

/// The first and the last of the consecutive views, without a gap, in which a stream was below the cool threshold. A
/// view is identified by the slice after its window.
#[derive(Clone, Copy, Debug)]
struct CoolPeriod {
    first: Slice,
    last: Slice,
}

/// Whether and since when a hot stream has been below the cool threshold.
#[derive(Clone, Copy, Debug, Default)]
struct HotStream {
    /// `None` if the stream was not below the cool threshold in the latest view.
    cool_period: Option<CoolPeriod>,
}

impl HotStream {
    /// Records a view in which the stream was below the cool threshold. Returns whether the stream stays hot.
    fn record_cool_view(&mut self, slice: Slice) -> bool {
        // There is a gap if the windows of two views neither overlap nor are adjacent.
        let continued_period =
            self.cool_period.filter(|period| slice.distance(period.last) <= SLICES_PER_WINDOW);
        let first = continued_period.map_or(slice, |period| period.first);
        self.cool_period = Some(CoolPeriod { first, last: slice });
        slice < first.plus(SLICES_PER_WINDOW)
    }
}

/// Decides which streams are hot, given the views of the fleet in the order of their windows.
#[derive(Clone, Debug)]
pub struct HotStreamDetector {
    hot_fraction: f64,
    hot_streams: BTreeMap<Key, HotStream>,
}

impl HotStreamDetector {
    /// Creates a detector without hot streams. A stream with more than `hot_fraction` of all messages becomes hot.
    #[must_use]
    pub fn new(hot_fraction: f64) -> Self {
        Self { hot_fraction, hot_streams: BTreeMap::new() }
    }

    /// Marks as hot the streams that exceed the hot fraction in a view.
    pub fn detect(&mut self, view: &FleetView) {
        let hot_threshold = self.hot_fraction * view.message_bounds().max as f64;
        for total in view.streams().iter().filter(|total| total.min as f64 > hot_threshold) {
            if !self.hot_streams.contains_key(&total.key) {
                self.evict_smallest_if_full(view);
                self.hot_streams.insert(total.key, HotStream::default());
            }
        }
    }

    /// Removes the hot streams that have been below the cool threshold for a window. Of the views whose windows end with
    /// the same slice, `view` must be the last one, which is the most precise.
    pub fn remove_cooled(&mut self, view: &FleetView) {
        let slice = view.slices().end;
        let cool_threshold = COOL_FACTOR * self.hot_fraction * view.message_bounds().min as f64;
        self.hot_streams.retain(|key, stream| {
            let upper_bound = view.stream_bounds(*key).max;
            if upper_bound as f64 >= cool_threshold && upper_bound > 0 {
                stream.cool_period = None;
                return true;
            }
            stream.record_cool_view(slice)
        });
    }

    /// Whether a stream is marked as hot.
    #[must_use]
    pub fn is_hot(&self, stream: Key) -> bool {
        self.hot_streams.contains_key(&stream)
    }

    /// The hot streams, in the order of their keys.
    pub fn hot_streams(&self) -> impl Iterator<Item = Key> {
        self.hot_streams.keys().copied()
    }

    /// Removes the hot stream with the smallest lower bound if the maximum number of hot streams is reached.
    fn evict_smallest_if_full(&mut self, view: &FleetView) {
        let max_hot = (1.0 / self.hot_fraction) as usize;
        let lower_bound_then_key = |key: &Key| (view.stream_bounds(*key).min, *key);
        if self.hot_streams.len() >= max_hot
            && let Some(smallest) = self.hot_streams.keys().copied().min_by_key(lower_bound_then_key)
        {
            self.hot_streams.remove(&smallest);
        }
    }
}
