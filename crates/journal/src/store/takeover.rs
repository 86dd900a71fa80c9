//! Takeover: an owner leaves half of the disk budget to its successor, and the successor becomes the owner.

use crate::JournalError;
use crate::message::TakenOver;
use crate::replay::{ReplayedState, replay_segments};
use crate::segments::segment_numbers;

use super::{RESERVE, Store};

impl Store {
    /// Whether this process owns the folder: all that earlier processes left in it is this one's.
    pub fn is_owner(&self) -> bool {
        self.lock.is_owner()
    }

    /// Makes a successor the owner if the owner has ended, and returns the owner's unfinished work. `None` while the
    /// owner runs, and for a process that is the owner already.
    ///
    /// For an id that both know the successor's entry is kept: the earlier owner's message is complete.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the owner's segments cannot be read; the call may be repeated.
    pub fn take_over(&mut self) -> Result<Option<TakenOver>, JournalError> {
        if !self.lock.try_lock_as_owner()? {
            return Ok(None);
        }
        let mut numbers = segment_numbers(&self.folder)?;
        let first_of_ours = self.segments.oldest();
        numbers.retain(|&number| number < first_of_ours);
        let mut state = ReplayedState::default();
        let older = replay_segments(&self.folder, &numbers, &mut state)?;
        self.lock.become_owner()?;
        self.segments.prepend(older);
        self.budget = self.disk_budget;
        let taken_over = self.entries.add_older(state.entries);
        self.latest_attempt = self.latest_attempt.max(state.latest_attempt);
        self.outage_records.add_older(state.outage_records);
        self.compact_or_warn();
        Ok(Some(taken_over))
    }

    /// Leaves half of the disk budget to a successor while there is one, and uses all of it again when there is none.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if compaction to that half failed; no more than half is used for new records all the same.
    pub fn share_disk(&mut self, with_successor: bool) -> Result<(), JournalError> {
        if !with_successor {
            self.budget = self.disk_budget;
            return Ok(());
        }
        let half = self.disk_budget / 2;
        let compacted = self.compact_to(half.saturating_sub(RESERVE));
        self.budget = half;
        compacted
    }
}
