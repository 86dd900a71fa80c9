//! The journal of a process: its recorded state, and the batch of records to be written next.

mod compaction;
mod takeover;

use std::collections::VecDeque;
use std::path::{Path, PathBuf};

use rudderspindle_clock::UnixMillis;

use crate::entries::{Entries, Entry, EntryState};
use crate::folder_lock::FolderLock;
use crate::message::{Message, PendingNotification, PossibleExecution, Status};
use crate::outage_records::{EndpointKey, OutageRecord, OutageRecords, OutageState};
use crate::record::{
    append_accepted, append_acknowledged, append_attempt_finished, append_attempt_started, append_completed,
    append_outage,
};
use crate::replay::{ReplayedState, replay_segments};
use crate::segments::{SEGMENT_SIZE, Segments, segment_numbers};
use crate::{JournalError, MessageId};

/// Space kept free between batches, in bytes: for one batch, and for one segment that is compacted.
const RESERVE: u64 = 5 * SEGMENT_SIZE;
/// Part of the budget that is not available for pending entries, in bytes, so that compaction can always free space.
const HEADROOM: u64 = 8 * SEGMENT_SIZE;
/// Lead of a successor's segment numbers over those of the owner, which may still write segments.
const SUCCESSOR_NUMBER_OFFSET: u64 = 1_000_000;

/// A journal in a folder, opened by one process.
///
/// Changes are visible at once and durable after the next [`Store::commit`].
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    lock: FolderLock,
    /// Maximum disk usage of all processes' segments, in bytes.
    disk_budget: u64,
    /// Maximum disk usage of this process's segments, in bytes: half of `disk_budget` while two processes write.
    budget: u64,
    segments: Segments,
    /// The batch's records of past events; kept for the next batch if they cannot be written.
    retained_records: Vec<u8>,
    /// The batch's records of events that require a written record; dropped if they cannot be written.
    provisional_records: Vec<u8>,
    entries: Entries,
    outage_records: OutageRecords,
    /// When the latest attempt of an earlier process was sent; [`UnixMillis::EPOCH`] if none is on record.
    latest_attempt: UnixMillis,
}

impl Store {
    /// Opens the journal in `folder`: replays it, truncates a torn tail and starts a new segment. `disk_budget` is the
    /// maximum disk usage of all segments together, in bytes.
    ///
    /// If another process owns the folder, nothing is replayed, and this process uses half of the budget until
    /// [`Store::take_over`].
    ///
    /// # Errors
    ///
    /// [`JournalError::FolderInUse`] if two processes use the folder already; [`JournalError::Io`] if it cannot be
    /// read or written.
    pub fn open(folder: &Path, disk_budget: u64) -> Result<Self, JournalError> {
        let lock = FolderLock::acquire(folder)?;
        let numbers = segment_numbers(folder)?;
        if !lock.is_owner() {
            let number = numbers.last().map_or(0, |last| last + SUCCESSOR_NUMBER_OFFSET);
            let segments = Segments::start(folder, VecDeque::new(), number)?;
            return Ok(Self::new(folder, lock, disk_budget, segments, ReplayedState::default()));
        }
        let mut state = ReplayedState::default();
        let older = replay_segments(folder, &numbers, &mut state)?;
        let number = numbers.last().map_or(0, |last| last + 1);
        let segments = Segments::start(folder, older, number)?;
        let mut store = Self::new(folder, lock, disk_budget, segments, state);
        store.compact_at_start()?;
        Ok(store)
    }

    fn new(
        folder: &Path,
        lock: FolderLock,
        disk_budget: u64,
        segments: Segments,
        state: ReplayedState,
    ) -> Self {
        let budget = if lock.is_owner() { disk_budget } else { disk_budget / 2 };
        Self {
            folder: folder.to_owned(),
            lock,
            disk_budget,
            budget,
            segments,
            retained_records: Vec::new(),
            provisional_records: Vec::new(),
            entries: state.entries,
            outage_records: state.outage_records,
            latest_attempt: state.latest_attempt,
        }
    }

    /// The messages that are not complete, in no particular order.
    pub fn pending_messages(&self) -> impl Iterator<Item = &Message> {
        self.entries.pending_messages()
    }

    /// A message, if it is not complete.
    pub fn pending_message(&self, message_id: &MessageId) -> Option<&Message> {
        self.entries.pending_message(message_id)
    }

    /// The notifications that are not acknowledged, in no particular order.
    pub fn pending_notifications(&self) -> impl Iterator<Item = PendingNotification> + '_ {
        self.entries.pending_notifications()
    }

    /// When the latest attempt of an earlier process was sent; [`UnixMillis::EPOCH`] if none is on record.
    ///
    /// If it is in the future, the clock was set back, and recorded times do not show how long ago an attempt was.
    pub fn latest_attempt(&self) -> UnixMillis {
        self.latest_attempt
    }

    /// Whether a message is not complete, or its notification is not acknowledged.
    pub fn contains(&self, message_id: &MessageId) -> bool {
        self.entries.contains(message_id)
    }

    /// Whether `bytes` more can be reserved for messages, see [`Message::reserved_bytes`].
    pub fn has_space_for(&self, bytes: u64) -> bool {
        self.entries.reserved_bytes() + bytes <= self.budget.saturating_sub(HEADROOM)
    }

    /// Whether the new messages of a batch can reserve `bytes` in total.
    pub fn fits_batch(bytes: u64) -> bool {
        bytes <= SEGMENT_SIZE
    }

    /// Accepts a message. Its client may be answered only after the commit.
    pub fn accept(&mut self, message: Message) {
        append_accepted(&mut self.provisional_records, &message);
        let message_id = message.message_id.clone();
        self.insert(message_id, EntryState::Message(message));
    }

    /// Records the next attempt of a message. Its first byte may be sent only after the commit.
    pub fn start_attempt(&mut self, message_id: &MessageId, execution: PossibleExecution) {
        let Some(message) = self.entries.pending_message_mut(message_id) else { return };
        let attempt = message.attempts;
        append_attempt_started(&mut self.provisional_records, message_id, attempt, &execution);
        message.start_attempt(attempt, Some(execution));
    }

    /// Records the outcome of attempt number `attempt`, counted from 0.
    pub fn finish_attempt(&mut self, message_id: &MessageId, attempt: u32, possibly_executed: bool) {
        let Some(message) = self.entries.pending_message_mut(message_id) else { return };
        append_attempt_finished(&mut self.retained_records, message_id, attempt, possibly_executed);
        message.finish_attempt(Some(attempt), possibly_executed);
    }

    /// Completes a message. A `notification` is pending until it is acknowledged.
    pub fn complete(&mut self, message_id: &MessageId, notification: Option<Status>) {
        if !self.entries.remove(message_id) {
            return;
        }
        append_completed(&mut self.retained_records, message_id, notification);
        if let Some(status) = notification {
            self.insert(message_id.clone(), EntryState::Notification(status));
        }
    }

    /// Records that a notification was acknowledged.
    pub fn acknowledge(&mut self, message_id: &MessageId) {
        if self.entries.remove(message_id) {
            append_acknowledged(&mut self.retained_records, message_id);
        }
    }

    /// Records the outage state of an endpoint, which replaces the earlier one; `None` is healthy.
    pub fn record_outage(&mut self, endpoint: EndpointKey, outage: Option<OutageState>) {
        let segment = self.segments.current();
        let recorded_at = UnixMillis::now();
        append_outage(&mut self.retained_records, &endpoint, recorded_at, outage);
        let record = outage.map(|outage| OutageRecord { segment, recorded_at, outage });
        self.outage_records.set(endpoint, record);
    }

    /// The current outage states, in the order of their endpoints.
    pub fn outage_records(&self) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        self.outage_records.states_at(UnixMillis::now())
    }

    /// Writes the batch.
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] or [`JournalError::Io`] if it cannot be written. In this case no message of the batch is
    /// accepted and no attempt started: the caller must [`discard`](Store::discard) these messages. Outcomes, completions,
    /// acknowledgements and outage states are kept for the next batch.
    pub fn commit(&mut self) -> Result<(), JournalError> {
        if self.retained_records.is_empty() && self.provisional_records.is_empty() {
            return Ok(());
        }
        let retained_len = self.retained_records.len();
        let mut batch = std::mem::take(&mut self.retained_records);
        batch.append(&mut self.provisional_records);
        if let Err(error) = self.segments.append(&batch, self.budget) {
            batch.truncate(retained_len);
            self.retained_records = batch;
            return Err(error);
        }
        self.compact_or_warn();
        Ok(())
    }

    /// Removes a message whose batch could not be written.
    pub fn discard(&mut self, message_id: &MessageId) {
        self.entries.remove(message_id);
    }

    fn insert(&mut self, message_id: MessageId, state: EntryState) {
        let segment = self.segments.current();
        self.entries.insert(message_id, Entry { segment, state });
    }
}

#[cfg(test)]
mod tests;
