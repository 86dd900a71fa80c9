//! How one sender reads a window summary.
//!
//! Invariant: what the whole fleet accepted of a key within the window is in its [`Interval`], whichever sender did not
//! report: for each sender and slice of which no complete count was received, the maximum that a sender may accept is added.
//!
//! What a silent sender published last bounds nothing: the storm may have come to it since. So its bound is what its
//! admission lets in ([`Settings::max_per_second`]); a view is as sharp as that is near to what senders accept.

use std::ops::Range;

use crate::error::DatagramError;
use crate::key::Key;
use crate::settings::Settings;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_summary::{TopKeys, WindowSummary};
use crate::window_totals::KeyTotal;

/// Bounds of a number of messages, both included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// Lower bound.
    pub min: u64,
    /// Upper bound.
    pub max: u64,
}

impl Interval {
    /// Whether a number is within the bounds.
    #[must_use]
    pub fn contains(&self, number: u64) -> bool {
        (self.min..=self.max).contains(&number)
    }
}

/// Of how many senders and slices complete counts were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Number of complete counts received.
    pub received: usize,
    /// Number of complete counts that there are.
    pub expected: usize,
}

/// A window summary as it is read by one sender.
#[derive(Clone, Debug)]
pub struct FleetView {
    summary: WindowSummary,
    sender_count: usize,
    /// Upper bound of what was accepted by senders that did not report.
    max_missing: u64,
}

impl FleetView {
    /// Reads a summary in a fleet of so many senders, 65,535 at most.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Malformed`] if it claims counts of more senders than there are or more messages than they may
    /// accept, or contradicts itself.
    pub fn new(
        summary: WindowSummary,
        sender_count: usize,
        settings: &Settings,
    ) -> Result<Self, DatagramError> {
        let max_messages = (sender_count as u64 * SLICES_PER_WINDOW).saturating_mul(settings.max_per_slice());
        if summary.messages > max_messages || !summary.is_consistent() {
            return Err(DatagramError::Malformed);
        }
        let missing = missing_counts(&summary, sender_count).ok_or(DatagramError::Malformed)?;
        let max_missing = missing.saturating_mul(settings.max_per_slice());
        Ok(Self { summary, sender_count, max_missing })
    }

    /// The window's first slice and the one after its last.
    #[must_use]
    pub fn slices(&self) -> Range<Slice> {
        self.summary.slice.minus(SLICES_PER_WINDOW)..self.summary.slice
    }

    /// How many complete counts the view rests on.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        let received = self.summary.complete_counts.iter().map(|senders| usize::from(*senders)).sum();
        Coverage { received, expected: self.sender_count * SLICES_PER_WINDOW as usize }
    }

    /// Number of messages that all senders accepted within the window.
    #[must_use]
    pub fn messages(&self) -> Interval {
        let min = self.summary.messages;
        Interval { min, max: min.saturating_add(self.max_missing) }
    }

    /// Number of messages of a stream that all senders accepted.
    #[must_use]
    pub fn stream(&self, stream: Key) -> Interval {
        self.interval(&self.summary.streams, stream)
    }

    /// How often all senders accepted an idempotency key.
    #[must_use]
    pub fn idempotency_key(&self, key: Key) -> Interval {
        self.interval(&self.summary.keys, key)
    }

    /// The heaviest streams, the heaviest first.
    #[must_use]
    pub fn streams(&self) -> &[KeyTotal] {
        &self.summary.streams.totals
    }

    /// The idempotency keys that several senders accepted.
    #[must_use]
    pub fn repeated_keys(&self) -> &[KeyTotal] {
        &self.summary.keys.totals
    }

    /// The summary that was read.
    #[must_use]
    pub fn summary(&self) -> &WindowSummary {
        &self.summary
    }

    fn interval(&self, list: &TopKeys, key: Key) -> Interval {
        let listed = list.totals.iter().find(|total| total.key == key);
        let (min, max) = listed.map_or((0, list.max_unlisted), |total| (total.min, total.max()));
        Interval { min, max: max.saturating_add(self.max_missing).min(self.messages().max) }
    }
}

/// Number of complete counts that are missing, or `None` if there are more than senders.
fn missing_counts(summary: &WindowSummary, sender_count: usize) -> Option<u64> {
    let mut missing = 0;
    for senders in summary.complete_counts {
        missing += sender_count.checked_sub(usize::from(senders))? as u64;
    }
    Some(missing)
}
