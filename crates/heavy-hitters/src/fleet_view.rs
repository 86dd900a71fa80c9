//! The view of one sender on the fleet, read from a window summary.
//!
//! Invariant: the number of messages of a key that the whole fleet accepted within the window is in its [`Interval`],
//! whichever senders did not report: for each sender and slice without a complete count, the maximum that a sender may accept
//! ([`Settings::max_per_second`]) is added.
//!
//! The last digest of a sender that stopped reporting is no bound, as its load may have changed since.

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

/// The number of complete counts on which a view is based; there is one for each sender and slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Number of complete counts received.
    pub received: usize,
    /// Number of complete counts expected.
    pub expected: usize,
}

/// A window summary as read by one sender.
#[derive(Clone, Debug)]
pub struct FleetView {
    summary: WindowSummary,
    sender_count: usize,
    /// Upper bound of the messages accepted by senders that did not report.
    max_missing: u64,
}

impl FleetView {
    /// Reads a summary in a fleet of `sender_count` senders, at most 65,535.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Malformed`] if it counts more senders than there are or more messages than they may accept, or is
    /// inconsistent.
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

    /// The number of complete counts on which the view is based.
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

    /// Number of messages of a stream that all senders accepted within the window.
    #[must_use]
    pub fn stream(&self, stream: Key) -> Interval {
        self.interval(&self.summary.streams, stream)
    }

    /// Number of messages with an idempotency key that all senders accepted within the window.
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

/// Number of missing complete counts, or `None` if the summary has more counts than senders.
fn missing_counts(summary: &WindowSummary, sender_count: usize) -> Option<u64> {
    let mut missing = 0;
    for senders in summary.complete_counts {
        missing += sender_count.checked_sub(usize::from(senders))? as u64;
    }
    Some(missing)
}
