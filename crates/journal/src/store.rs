//! The journal of one process: the pending messages, notifications and outage states, and the batch of records that the next
//! commit writes.

mod compaction;
mod space;
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

/// Part of the disk budget that compaction keeps free, in bytes: space for one batch, and for the entries of one segment that
/// is compacted.
const COMPACTION_FREE_SPACE: u64 = 5 * SEGMENT_SIZE;
/// Difference between a successor's first segment number and the owner's latest one, because the owner may still start
/// segments.
const SUCCESSOR_NUMBER_OFFSET: u64 = 1_000_000;

/// A journal in a folder, opened by one process.
///
/// A change is visible to the methods of this type immediately, and written to disk by the next [`Store::commit`].
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    lock: FolderLock,
    /// Maximum disk usage of the segments of owner and successor together, in bytes.
    disk_budget: u64,
    /// Maximum disk usage of this process's segments, in bytes. While two processes write, the owner's part and the
    /// successor's part add up to `disk_budget`.
    budget: u64,
    /// Whether this process shares the disk budget with a successor.
    has_successor: bool,
    segments: Segments,
    /// Records of events that have happened (outcomes, completions, acknowledgements, outages): kept for the next batch if
    /// this batch cannot be written.
    retained_records: Vec<u8>,
    /// Records of events that may happen only once they are written (acceptances, starts of attempts): dropped if this batch
    /// cannot be written.
    provisional_records: Vec<u8>,
    entries: Entries,
    outage_records: OutageRecords,
    /// When the latest attempt of an earlier process was sent; [`UnixMillis::EPOCH`] if none is recorded.
    latest_attempt: UnixMillis,
    /// Ids of complete messages of an earlier process, see [`Store::take_possibly_executed`].
    possibly_executed: Vec<MessageId>,
}

impl Store {
    /// Opens the journal in `folder`: replays its segments, truncates torn records at their ends and starts a new segment.
    /// `disk_budget` is the maximum disk usage of all segments together, in bytes.
    ///
    /// If another process owns the folder, this process becomes its successor: it replays no segment, and uses half of the
    /// budget, or the part that [`Store::set_successor_part`] sets, until [`Store::take_over`] makes it the owner.
    ///
    /// # Errors
    ///
    /// [`JournalError::FolderInUse`] if the folder already has an owner and a successor; [`JournalError::Io`] if the folder
    /// cannot be read or written.
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
            has_successor: false,
            segments,
            retained_records: Vec::new(),
            provisional_records: Vec::new(),
            possibly_executed: state.possibly_executed_ids(),
            entries: state.entries,
            outage_records: state.outage_records,
            latest_attempt: state.latest_attempt,
        }
    }

    /// The messages that are not complete, in no particular order.
    pub fn pending_messages(&self) -> impl Iterator<Item = &Message> {
        self.entries.pending_messages()
    }

    /// The message with this id, or `None` if it is complete or unknown.
    pub fn pending_message(&self, message_id: &MessageId) -> Option<&Message> {
        self.entries.pending_message(message_id)
    }

    /// The notifications that the platform has not acknowledged, in no particular order.
    pub fn pending_notifications(&self) -> impl Iterator<Item = PendingNotification> + '_ {
        self.entries.pending_notifications()
    }

    /// When the latest attempt of an earlier process was sent; [`UnixMillis::EPOCH`] if none is recorded.
    ///
    /// If this time is in the future, the clock was set back, so the age of a recorded attempt cannot be calculated.
    pub fn latest_attempt(&self) -> UnixMillis {
        self.latest_attempt
    }

    /// Whether a message, or its notification, is pending.
    pub fn contains(&self, message_id: &MessageId) -> bool {
        self.entries.contains(message_id)
    }

    /// Accepts a message. The response to its client may be sent only after the commit.
    pub fn accept(&mut self, message: Message) {
        append_accepted(&mut self.provisional_records, &message);
        let message_id = message.message_id.clone();
        self.insert(message_id, EntryState::Message(message));
    }

    /// Records the start of a message's next attempt. The first byte of the attempt may be sent only after the commit.
    pub fn start_attempt(&mut self, message_id: &MessageId, execution: PossibleExecution) {
        let Some(message) = self.entries.pending_message_mut(message_id) else { return };
        let attempt = message.attempts;
        append_attempt_started(&mut self.provisional_records, message_id, attempt, &execution);
        message.start_attempt(attempt, Some(execution));
    }

    /// Takes back the start of attempt number `attempt`, counted from 0, whose record could not be written; nothing is
    /// recorded. The next attempt has the same number.
    pub fn discard_attempt(&mut self, message_id: &MessageId, attempt: u32) {
        if let Some(message) = self.entries.pending_message_mut(message_id) {
            message.discard_attempt(attempt);
        }
    }

    /// Records the outcome of attempt number `attempt`, counted from 0.
    pub fn finish_attempt(&mut self, message_id: &MessageId, attempt: u32, possibly_executed: bool) {
        let Some(message) = self.entries.pending_message_mut(message_id) else { return };
        append_attempt_finished(&mut self.retained_records, message_id, attempt, possibly_executed);
        message.finish_attempt(Some(attempt), possibly_executed);
    }

    /// Completes a message. A `notification` stays pending until it is acknowledged.
    pub fn complete(&mut self, message_id: &MessageId, notification: Option<Status>) {
        if !self.entries.remove(message_id) {
            return;
        }
        append_completed(&mut self.retained_records, message_id, notification);
        if let Some(status) = notification {
            self.insert(message_id.clone(), EntryState::Notification(status));
        }
    }

    /// Records that the platform acknowledged the notification of a message.
    pub fn acknowledge(&mut self, message_id: &MessageId) {
        if self.entries.remove(message_id) {
            append_acknowledged(&mut self.retained_records, message_id);
        }
    }

    /// Records the outage state of an endpoint in place of the earlier state; `None` is healthy.
    pub fn record_outage(&mut self, endpoint: EndpointKey, outage: Option<OutageState>) {
        let segment = self.segments.current();
        let recorded_at = UnixMillis::now();
        append_outage(&mut self.retained_records, &endpoint, recorded_at, outage);
        let record = outage.map(|outage| OutageRecord { segment, recorded_at, outage });
        self.outage_records.set(endpoint, record);
    }

    /// The outage states that have not expired, aged to the current time, in the order of their endpoints.
    pub fn outage_records(&self) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        self.outage_records.states_at(UnixMillis::now())
    }

    /// Writes the batch: all changes since the last commit.
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] or [`JournalError::Io`] if the batch cannot be written. In this case the messages of the batch
    /// are not accepted, and the caller must [`discard`](Store::discard) them; its attempts must not be sent. Outcomes,
    /// completions, acknowledgements and outage states are kept for the next batch.
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

    /// Removes a message whose acceptance could not be written; nothing is recorded.
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
