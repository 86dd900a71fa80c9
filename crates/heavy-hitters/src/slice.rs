//! Slices of the window: equal parts that are counted and discarded one by one.

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

/// Number of slices in a window; the number of datagrams is proportional to it.
pub const SLICES_PER_WINDOW: u64 = 5;

/// The index of a slice of the window: milliseconds since the Unix epoch, divided by the length of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slice(pub u64);

impl Slice {
    /// The slice that contains the time, for slices of `slice_ms` milliseconds (at least 1).
    #[must_use]
    pub fn containing(time: UnixMillis, slice_ms: u64) -> Self {
        Self(time.0 / slice_ms)
    }

    /// The slice `slices` later.
    #[must_use]
    pub(crate) fn plus(self, slices: u64) -> Self {
        Self(self.0.saturating_add(slices))
    }

    /// The slice `slices` earlier, but not before slice 0.
    #[must_use]
    pub(crate) fn minus(self, slices: u64) -> Self {
        Self(self.0.saturating_sub(slices))
    }

    /// Absolute difference between the indices of two slices.
    #[must_use]
    pub(crate) fn distance(self, other: Self) -> u64 {
        self.0.abs_diff(other.0)
    }

    /// The slices of the window that ends at the start of this slice, earliest first.
    pub(crate) fn window_before(self) -> impl DoubleEndedIterator<Item = Self> {
        (self.minus(SLICES_PER_WINDOW).0..self.0).map(Self)
    }

    /// Position of an earlier slice in the window before this one: 0 for the latest slice of the window.
    pub(crate) fn age_of(self, earlier: Self) -> u64 {
        self.0 - 1 - earlier.0
    }
}
