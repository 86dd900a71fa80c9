//! Takeover: the owner shares the disk budget with its successor, which then becomes the owner.

use crate::JournalError;
use crate::message::TakenOver;
use crate::replay::{ReplayedState, replay_segments};
use crate::segments::segment_numbers;

use super::{RESERVE, Store};

impl Store {
    /// Whether this process owns the folder and all earlier segments in it.
    pub fn is_owner(&self) -> bool {
        self.lock.is_owner()
    }

    /// Makes a successor the owner if the owner has exited, and returns the owner's pending work. `None` while the owner runs,
    /// and for a process that is the owner already.
    ///
    /// If both have an entry of an id, the successor's is kept: the earlier owner's message is complete.
    ///
    /// # Errors
    ///
    /// [`JournalError::Io`] if the owner's segments cannot be read; the call may be repeated.
    pub fn take_over(&mut self) -> Result<Option<TakenOver>, JournalError> {
        if !self.lock.try_lock_as_owner()? {
            return Ok(None);
        }
        let mut numbers = segment_numbers(&self.folder)?;
        let first_own = self.segments.oldest();
        numbers.retain(|&number| number < first_own);
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

    /// Uses half of the disk budget while there is a successor, and all of it otherwise.
    ///
    /// # Errors
    ///
    /// [`JournalError`] if compaction to that half failed; new records are limited to half of the budget nevertheless.
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
