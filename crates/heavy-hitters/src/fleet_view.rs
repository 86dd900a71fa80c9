//! Interprets a window summary as bounds on the numbers of messages that the fleet accepted.
//!
//! Invariant: the number of messages of a key that the whole fleet accepted within the window is in the
//! [`Interval`] of the key, even if senders did not report: for each sender and slice without a complete count,
//! the maximum that a sender may accept ([`Settings::max_per_second`]) is added to the upper bound.
//!
//! The last digest of a sender that stopped reporting is not used as a bound because its load may have changed since.

use std::ops::Range;

use crate::error::DatagramError;
use crate::key::Key;
use crate::settings::Settings;
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_summary::{TopKeys, WindowSummary};
use crate::window_totals::KeyTotal;

/// Bounds of a number of messages, both inclusive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interval {
    /// Lower bound, inclusive.
    pub min: u64,
    /// Upper bound, inclusive.
    pub max: u64,
}

impl Interval {
    /// Whether a count is within the bounds.
    #[must_use]
    pub fn contains(&self, count: u64) -> bool {
        (self.min..=self.max).contains(&count)
    }
}

/// How many complete counts of a window a view is based on; each sender reports one complete count for each slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Number of complete counts received.
    pub received: usize,
    /// Number of complete counts if all senders reported all slices.
    pub expected: usize,
}

/// A window summary, with the bounds that follow from the senders that did not report.
#[derive(Clone, Debug)]
pub struct FleetView {
    summary: WindowSummary,
    sender_count: usize,
    /// Upper bound of the number of messages in slices that senders did not report completely.
    max_missing: u64,
}

impl FleetView {
    /// Creates the view of a summary in a fleet of `sender_count` senders, at most 65,535.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Malformed`] if the summary counts more senders than the fleet has, counts more messages
    /// than they may accept, or is inconsistent.
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

    /// The slices of the window; the end is the slice after the last one.
    #[must_use]
    pub fn slices(&self) -> Range<Slice> {
        self.summary.slice.minus(SLICES_PER_WINDOW)..self.summary.slice
    }

    /// How many complete counts of the window the view is based on.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        let received = self.summary.complete_counts.iter().map(|senders| usize::from(*senders)).sum();
        Coverage { received, expected: self.sender_count * SLICES_PER_WINDOW as usize }
    }

    /// Bounds of the number of messages that all senders accepted within the window.
    #[must_use]
    pub fn message_bounds(&self) -> Interval {
        let min = self.summary.messages;
        Interval { min, max: min.saturating_add(self.max_missing) }
    }

    /// Bounds of the number of messages of a stream that all senders accepted within the window.
    #[must_use]
    pub fn stream_bounds(&self, stream: Key) -> Interval {
        self.key_bounds(&self.summary.streams, stream)
    }

    /// Bounds of the number of messages with an idempotency key that all senders accepted within the window.
    #[must_use]
    pub fn idempotency_key_bounds(&self, key: Key) -> Interval {
        self.key_bounds(&self.summary.idempotency_keys, key)
    }

    /// The listed streams in descending order of their lower bounds.
    #[must_use]
    pub fn streams(&self) -> &[KeyTotal] {
        &self.summary.streams.totals
    }

    /// The listed idempotency keys, each accepted by several senders.
    #[must_use]
    pub fn repeated_keys(&self) -> &[KeyTotal] {
        &self.summary.idempotency_keys.totals
    }

    /// The summary on which the view is based.
    #[must_use]
    pub fn summary(&self) -> &WindowSummary {
        &self.summary
    }

    fn key_bounds(&self, top_keys: &TopKeys, key: Key) -> Interval {
        let listed_total = top_keys.totals.iter().find(|total| total.key == key);
        let (min, max) = listed_total.map_or((0, top_keys.max_unlisted), |total| (total.min, total.max()));
        Interval { min, max: max.saturating_add(self.max_missing).min(self.message_bounds().max) }
    }
}

/// Number of missing complete counts; `None` if a slice of the summary has more complete counts than the fleet
/// has senders.
fn missing_counts(summary: &WindowSummary, sender_count: usize) -> Option<u64> {
    let mut missing = 0;
    for senders in summary.complete_counts {
        missing += sender_count.checked_sub(usize::from(senders))? as u64;
    }
    Some(missing)
}
