//! The space that pending entries take, and whether there is space for more of them.

use super::Store;
use crate::segments::SEGMENT_SIZE;

/// Part of the disk budget that pending entries cannot reserve, in bytes, so that compaction can always free space.
pub(super) const UNRESERVABLE_SPACE: u64 = 8 * SEGMENT_SIZE;

impl Store {
    /// Whether `bytes` can be reserved in addition to the space of all pending entries, see [`Message::reserved_bytes`](crate::Message::reserved_bytes).
    pub fn has_space_for(&self, bytes: u64) -> bool {
        self.entries.reserved_bytes() + bytes <= self.budget.saturating_sub(UNRESERVABLE_SPACE)
    }

    /// Sum of the bytes that all pending entries reserve, see [`Message::reserved_bytes`](crate::Message::reserved_bytes). The process holds about as many in
    /// memory.
    pub fn reserved_bytes(&self) -> u64 {
        self.entries.reserved_bytes()
    }

    /// Whether one batch may accept messages that reserve `bytes` in total.
    pub fn fits_batch(bytes: u64) -> bool {
        bytes <= SEGMENT_SIZE
    }
}
