//! Takeover: the owner shares the disk budget with its successor, which then becomes the owner.

use crate::JournalError;
use crate::message::TakenOver;
use crate::replay::{ReplayedState, replay_segments};
use crate::segments::segment_numbers;

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

    /// Limits this process to half of the disk budget while it has a successor, and to the whole budget otherwise.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if compaction to half of the budget failed; the limit of new records is nevertheless lowered to half.
    pub fn share_disk(&mut self, with_successor: bool) -> Result<(), JournalError> {
        if !with_successor {
            self.budget = self.disk_budget;
            return Ok(());
        }
        let half = self.disk_budget / 2;
        let compacted = self.compact_to(half.saturating_sub(COMPACTION_FREE_SPACE));
        self.budget = half;
        compacted
    }
}
