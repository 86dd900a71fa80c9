//! Compaction: frees the oldest segments by writing their pending entries again at the end.

use rudderspindle_clock::UnixMillis;

use crate::JournalError;
use crate::entries::EntryState;
use crate::record::{append_accepted, append_completed, append_outage};

use super::{RESERVE, Store};

impl Store {
    /// Compacts so that a batch can be written. If the latest recorded attempt is in the future, the clock was set back, and
    /// all older segments are removed so that later starts do not detect it again.
    pub(super) fn compact_at_start(&mut self) -> Result<(), JournalError> {
        if self.latest_attempt > UnixMillis::now() {
            return self.compact_to(0);
        }
        self.compact()
    }

    /// Compacts so that a batch can be written; a failure leaves less free space and is only logged.
    pub(super) fn compact_or_warn(&mut self) {
        if let Err(error) = self.compact() {
            tracing::warn!(%error, "journal: compaction failed");
        }
    }

    fn compact(&mut self) -> Result<(), JournalError> {
        self.compact_to(self.budget.saturating_sub(RESERVE))
    }

    /// Removes the oldest segments until the disk usage is at most `max_usage` bytes or one segment is left. The number of
    /// removed segments is bounded in advance, as moving records may start new ones.
    pub(super) fn compact_to(&mut self, max_usage: u64) -> Result<(), JournalError> {
        for _ in 1..self.segments.len() {
            if self.segments.disk_usage() <= max_usage {
                break;
            }
            self.compact_oldest()?;
        }
        Ok(())
    }

    /// Moves the pending entries of the oldest segment to the current one, then deletes the oldest. A crash between the two
    /// leaves duplicate records, which replay merges.
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

    /// New records of all pending entries of a segment.
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
