//! Takeover: the owner shares the disk budget with its successor, which then becomes the owner.

use crate::message::TakenOver;
use crate::replay::{ReplayedState, replay_segments};
use crate::segments::{SEGMENT_SIZE, segment_numbers};
use crate::{JournalError, MessageId};

use super::space::UNRESERVABLE_SPACE;
use super::{COMPACTION_FREE_SPACE, Store};

impl Store {
    /// Whether this process is the owner of the folder; otherwise it is the owner's successor.
    pub fn is_owner(&self) -> bool {
        self.lock.is_owner()
    }

    /// Makes this process the owner if the earlier owner has exited, and returns the earlier owner's pending messages and
    /// notifications. Returns `None` while the earlier owner runs, and if this process is the owner already.
    ///
    /// If both processes have an entry with the same id, the successor's entry is kept, because the earlier owner's message
    /// is then complete.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the owner's segments cannot be read; the call may then be repeated.
    pub fn take_over(&mut self) -> Result<Option<TakenOver>, JournalError> {
        if !self.lock.try_lock_as_owner()? {
            return Ok(None);
        }
        let mut numbers = segment_numbers(&self.folder)?;
        let first_own_number = self.segments.oldest();
        numbers.retain(|&number| number < first_own_number);
        let mut state = ReplayedState::default();
        let older_segments = replay_segments(&self.folder, &numbers, &mut state)?;
        self.lock.become_owner()?;
        self.segments.prepend(older_segments);
        self.budget = self.disk_budget;
        self.possibly_executed.extend(state.possibly_executed_ids());
        let taken_over = self.entries.add_older(state.entries);
        self.latest_attempt = self.latest_attempt.max(state.latest_attempt);
        self.outage_records.add_older(state.outage_records);
        self.compact_or_warn();
        Ok(Some(taken_over))
    }

    /// Ids of messages of an earlier process that are complete and may have been executed, and whose deadline has not passed.
    /// Compaction deletes the records of complete messages, so the ids of the oldest ones may be missing. Each id is returned
    /// once, because the journal does not keep it.
    pub fn take_possibly_executed(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.possibly_executed)
    }

    /// Limits this process to its part of the disk budget while it has a successor: half, or as much as its pending entries
    /// and compaction need if that is more. A later call lowers a part above half once fewer entries are pending. Without a
    /// successor, this process uses the whole budget.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if compaction to that part failed; the part then includes the space that compaction did not free.
    pub fn share_disk(&mut self, with_successor: bool) -> Result<(), JournalError> {
        self.has_successor = with_successor;
        if !with_successor {
            self.budget = self.disk_budget;
            return Ok(());
        }
        let target = self.needed_part();
        let compacted = self.compact_to(target.saturating_sub(COMPACTION_FREE_SPACE));
        let in_use = self.segments.disk_usage() + COMPACTION_FREE_SPACE;
        self.budget = target.max(in_use).min(self.budget);
        compacted
    }

    /// The part of the disk budget that this process leaves to its successor, in bytes: half at most.
    pub fn successor_part(&self) -> u64 {
        (self.disk_budget - self.budget).min(self.disk_budget / 2)
    }

    /// Whether the successor's part is half of the disk budget.
    pub fn leaves_half_to_successor(&self) -> bool {
        self.budget <= self.owner_half()
    }

    /// Whether this process has a successor to which [`Store::share_disk`] would leave at least one more segment, or the rest
    /// of its half.
    pub fn can_leave_more_to_successor(&self) -> bool {
        if !self.has_successor || self.leaves_half_to_successor() {
            return false;
        }
        let needed = self.needed_part();
        needed + SEGMENT_SIZE <= self.budget || needed == self.owner_half()
    }

    /// Limits this process, as a successor, to the part of the disk budget that the owner leaves to it, in bytes: half at
    /// most. Does nothing if this process is the owner.
    pub fn set_successor_part(&mut self, bytes: u64) {
        if !self.is_owner() {
            self.budget = bytes.min(self.disk_budget / 2);
        }
    }

    /// The part of the disk budget that this process needs while it has a successor.
    fn needed_part(&self) -> u64 {
        let needed = self.entries.reserved_bytes() + UNRESERVABLE_SPACE;
        needed.max(self.owner_half()).min(self.disk_budget)
    }

    /// The smallest part of the disk budget to which an owner is limited.
    fn owner_half(&self) -> u64 {
        self.disk_budget - self.disk_budget / 2
    }
}
