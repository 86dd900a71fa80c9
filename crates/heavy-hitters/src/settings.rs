//! The operator's settings of the heavy-hitter detection.

use thiserror::Error;

use crate::round::ROUND_MS;
use crate::slice::SLICES_PER_WINDOW;

/// The window must be a multiple of this, in milliseconds, so that a slice is a whole number of rounds.
const WINDOW_STEP_MS: u64 = SLICES_PER_WINDOW * ROUND_MS;
/// Minimum window, in milliseconds: the slices of a shorter window have too few rounds.
const MIN_WINDOW_MS: u64 = 6 * WINDOW_STEP_MS;
/// Maximum window, in milliseconds.
const MAX_WINDOW_MS: u64 = 600 * WINDOW_STEP_MS;
/// Minimum number of entries of a sketch: with fewer entries, the error of the sketch can hide a stream with a
/// tenth of all messages.
const MIN_ENTRIES: usize = 16;
/// Maximum number of entries of a sketch; more would be useless because a datagram holds far fewer.
const MAX_ENTRIES: usize = 1_024;
/// Minimum hot fraction: with a smaller one, more streams can be hot than fit into a summary.
const MIN_HOT_FRACTION: f64 = 0.02;
/// Maximum hot fraction: with a larger one, only one stream can be hot.
const MAX_HOT_FRACTION: f64 = 0.5;
/// Maximum of `max_per_second`, in messages a second.
const MAX_RATE: u64 = 1_000_000;

/// The operator's settings, which must be the same at all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window, in milliseconds: a multiple of 1,000 from 6,000 to 600,000.
    pub window_ms: u64,
    /// Number of entries of a sketch: 16 to 1,024.
    pub entries: usize,
    /// A stream with more than this fraction of all messages is hot: 0.02 to 0.5.
    pub hot_fraction: f64,
    /// Maximum rate that one sender accepts, in messages a second: 1 to 1,000,000. The sender's admission
    /// control must enforce it because the bounds of [`FleetView`](crate::FleetView) depend on it.
    pub max_per_second: u64,
}

/// An invalid setting: the received value and the valid range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// `window_ms` is out of range or not a multiple of the step.
    #[error(
        "window_ms = {0}: must be a multiple of {WINDOW_STEP_MS} between {MIN_WINDOW_MS} and {MAX_WINDOW_MS}"
    )]
    Window(u64),
    /// `entries` is out of range.
    #[error("entries = {0}: must be between {MIN_ENTRIES} and {MAX_ENTRIES}")]
    Entries(usize),
    /// `hot_fraction` is out of range or NaN.
    #[error("hot_fraction = {0}: must be between {MIN_HOT_FRACTION} and {MAX_HOT_FRACTION}")]
    HotFraction(f64),
    /// `max_per_second` is out of range.
    #[error("max_per_second = {0}: must be between 1 and {MAX_RATE}")]
    MaxPerSecond(u64),
}

impl Default for Settings {
    fn default() -> Self {
        Self { window_ms: 10_000, entries: 64, hot_fraction: 0.1, max_per_second: 1_000 }
    }
}

impl Settings {
    /// Returns the settings unchanged if they are valid.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first invalid field and its valid range.
    pub fn validated(self) -> Result<Self, SettingsError> {
        let valid_windows = MIN_WINDOW_MS..=MAX_WINDOW_MS;
        if !valid_windows.contains(&self.window_ms) || !self.window_ms.is_multiple_of(WINDOW_STEP_MS) {
            return Err(SettingsError::Window(self.window_ms));
        }
        if !(MIN_ENTRIES..=MAX_ENTRIES).contains(&self.entries) {
            return Err(SettingsError::Entries(self.entries));
        }
        // The range does not contain NaN.
        if !(MIN_HOT_FRACTION..=MAX_HOT_FRACTION).contains(&self.hot_fraction) {
            return Err(SettingsError::HotFraction(self.hot_fraction));
        }
        if !(1..=MAX_RATE).contains(&self.max_per_second) {
            return Err(SettingsError::MaxPerSecond(self.max_per_second));
        }
        Ok(self)
    }

    /// Length of a slice of the window, in milliseconds.
    #[must_use]
    pub fn slice_ms(&self) -> u64 {
        self.window_ms / SLICES_PER_WINDOW
    }

    /// Maximum number of messages that one sender accepts within a slice.
    #[must_use]
    pub fn max_per_slice(&self) -> u64 {
        (self.max_per_second * self.slice_ms()).div_ceil(1_000)
    }
}
