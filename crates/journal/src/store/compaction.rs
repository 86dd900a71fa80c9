//! Compaction: appends the pending entries of the oldest segments to the current segment, and deletes the oldest segments.

use rudderspindle_clock::UnixMillis;

use crate::JournalError;
use crate::entries::EntryState;
use crate::record::{append_accepted, append_completed, append_outage};

use super::{COMPACTION_FREE_SPACE, Store};

impl Store {
    /// Compacts so that a batch can be written. If the latest recorded attempt is in the future, the clock was set back. All
    /// older segments are then deleted, so that later starts do not report the same clock change again.
    pub(super) fn compact_at_start(&mut self) -> Result<(), JournalError> {
        if self.latest_attempt > UnixMillis::now() {
            return self.compact_to(0);
        }
        self.compact()
    }

    /// Compacts so that a batch can be written. A failure is only logged, because it does not affect the records on disk: it
    /// leaves less free space for the next batch.
    pub(super) fn compact_or_warn(&mut self) {
        if let Err(error) = self.compact() {
            tracing::warn!(%error, "journal compaction failed");
        }
    }

    fn compact(&mut self) -> Result<(), JournalError> {
        self.compact_to(self.budget.saturating_sub(COMPACTION_FREE_SPACE))
    }

    /// Compacts the oldest segments until the disk usage is at most `max_usage` bytes or only one segment remains. The number
    /// of compacted segments is bounded in advance, because the moved records may start new segments.
    pub(super) fn compact_to(&mut self, max_usage: u64) -> Result<(), JournalError> {
        for _ in 1..self.segments.len() {
            if self.segments.disk_usage() <= max_usage {
                break;
            }
            self.compact_oldest()?;
        }
        Ok(())
    }

    /// Appends the pending entries of the oldest segment to the current segment, then deletes the oldest segment. A crash
    /// between the two steps leaves duplicate records, which replay merges.
    fn compact_oldest(&mut self) -> Result<(), JournalError> {
        let oldest = self.segments.oldest();
        let current = self.segments.current();
        self.outage_records.remove_expired(oldest, UnixMillis::now());
        let records = self.pending_records(oldest);
        self.segments.append(&records, self.budget)?;
        self.entries.move_segment(oldest, current);
        self.outage_records.move_segment(oldest, current);
        self.segments.remove_oldest()
    }

    /// Encodes new records of all pending entries of a segment.
    fn pending_records(&self, segment: u64) -> Vec<u8> {
        let mut records = Vec::new();
        for (message_id, entry) in self.entries.in_segment(segment) {
            match &entry.state {
                EntryState::Message(message) => append_accepted(&mut records, message),
                EntryState::Notification(status) => append_completed(&mut records, message_id, Some(*status)),
            }
        }
        for (endpoint, record) in self.outage_records.in_segment(segment) {
            append_outage(&mut records, endpoint, record.recorded_at, Some(record.outage));
        }
        records
    }
}
