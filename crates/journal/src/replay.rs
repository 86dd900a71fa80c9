//! Replay: restores the state of a journal from its segments.

use std::collections::VecDeque;
use std::fs::{self, OpenOptions};
use std::path::Path;

use rudderspindle_clock::UnixMillis;

use crate::entries::{Entries, Entry, EntryState};
use crate::message::{PossibleExecution, Status};
use crate::outage_records::{OutageRecord, OutageRecords};
use crate::record::{FRAME_LEN, FieldReader, MAX_PAYLOAD_LEN, Record};
use crate::segments::{Segment, segment_path};
use crate::{JournalError, Message, MessageId};

/// The state that the replayed records result in.
#[derive(Debug, Default)]
pub(crate) struct ReplayedState {
    /// Pending messages and notifications.
    pub entries: Entries,
    /// The outage states of destinations and receivers.
    pub outage_records: OutageRecords,
    /// When the latest recorded attempt was sent; [`UnixMillis::EPOCH`] if there is none.
    pub latest_attempt: UnixMillis,
    /// Complete messages that may have been executed.
    possibly_executed: Vec<CompleteMessage>,
}

/// A complete message that may have been executed.
#[derive(Debug)]
struct CompleteMessage {
    message_id: MessageId,
    deadline: UnixMillis,
}

/// Replays the segments of processes that have exited, in the order of `numbers`, and truncates each segment after its
/// last complete record. Attempts without an outcome are marked as possibly executed.
///
/// # Errors
///
/// [`JournalError::Io`] if a segment cannot be read or truncated.
pub(crate) fn replay_segments(
    folder: &Path,
    numbers: &[u64],
    state: &mut ReplayedState,
) -> Result<VecDeque<Segment>, JournalError> {
    let mut segments = VecDeque::new();
    for &number in numbers {
        let path = segment_path(folder, number);
        let bytes = fs::read(&path).map_err(JournalError::at(&path))?;
        let complete_len = replay_segment(&bytes, number, state);
        if complete_len < bytes.len() {
            tracing::warn!(
                segment = number,
                truncated_bytes = bytes.len() - complete_len,
                "journal segment truncated after its last complete record"
            );
            truncate(&path, complete_len as u64)?;
        }
        segments.push_back(Segment { number, bytes: complete_len as u64 });
    }
    state.entries.interrupt_attempts();
    Ok(segments)
}

fn truncate(path: &Path, length: u64) -> Result<(), JournalError> {
    let file = OpenOptions::new().write(true).open(path).map_err(JournalError::at(path))?;
    file.set_len(length).map_err(JournalError::at(path))
}

/// Replays the records of one segment, and returns the offset after its last complete record in bytes. A record with a wrong
/// checksum or undecodable content is skipped. The segment ends at a record whose length exceeds the maximum, because the
/// start of the next record is then unknown.
pub(crate) fn replay_segment(bytes: &[u8], segment: u64, state: &mut ReplayedState) -> usize {
    let mut offset = 0;
    while let Some((frame, rest)) = bytes[offset..].split_at_checked(FRAME_LEN) {
        let mut frame = FieldReader::new(frame);
        let (Some(length), Some(checksum)) = (frame.u32(), frame.u32()) else { break };
        let length = length as usize;
        if length > MAX_PAYLOAD_LEN {
            tracing::warn!(
                segment,
                offset,
                "journal record with an invalid length; rest of the segment lost"
            );
            break;
        }
        let Some(payload) = rest.get(..length) else { break };
        if crc32fast::hash(payload) != checksum {
            tracing::warn!(segment, offset, "journal record with a wrong checksum skipped");
        } else if let Some(record) = Record::decode(payload) {
            state.apply(record, segment);
        } else {
            tracing::warn!(
                segment,
                offset,
                "journal record of an unknown kind or with an invalid field skipped"
            );
        }
        offset += FRAME_LEN + length;
    }
    offset
}

impl ReplayedState {
    /// Applies a record that was read from a segment.
    fn apply(&mut self, record: Record, segment: u64) {
        match record {
            Record::Accepted(message) => self.apply_accepted(message, segment),
            Record::AttemptStarted { message_id, attempt, execution } => {
                self.update_latest_attempt(execution.as_ref());
                if let Some(message) = self.entries.pending_message_mut(&message_id) {
                    message.start_attempt(attempt, execution);
                }
            }
            Record::AttemptFinished { message_id, attempt, possibly_executed } => {
                if let Some(message) = self.entries.pending_message_mut(&message_id) {
                    message.finish_attempt(attempt, possibly_executed);
                }
            }
            Record::Acknowledged { message_id } => {
                self.entries.remove(&message_id);
            }
            Record::Completed { message_id, notification: None } => {
                self.add_possibly_executed(&message_id);
                self.entries.remove(&message_id);
            }
            Record::Completed { message_id, notification: Some(status) } => {
                if status == Status::Undeliverable {
                    self.add_possibly_executed(&message_id);
                }
                self.entries.insert(message_id, Entry { segment, state: EntryState::Notification(status) });
            }
            Record::Outage { endpoint, recorded_at, outage } => {
                let record = outage.map(|outage| OutageRecord { segment, recorded_at, outage });
                self.outage_records.set(endpoint, record);
            }
        }
    }

    fn apply_accepted(&mut self, message: Message, segment: u64) {
        self.update_latest_attempt(message.possibly_executed.as_ref());
        self.update_latest_attempt(message.in_flight.as_ref());
        let message_id = message.message_id.clone();
        self.entries.insert(message_id, Entry { segment, state: EntryState::Message(message) });
    }

    /// Adds a message that is completed now, if an attempt of it may have been executed.
    fn add_possibly_executed(&mut self, message_id: &MessageId) {
        let Some(message) = self.entries.pending_message(message_id) else { return };
        if message.possibly_executed.is_some() || message.in_flight.is_some() {
            let complete = CompleteMessage { message_id: message_id.clone(), deadline: message.deadline };
            self.possibly_executed.push(complete);
        }
    }

    /// Ids of the complete messages that may have been executed and whose deadline has not passed.
    pub fn possibly_executed_ids(&self) -> Vec<MessageId> {
        let now = UnixMillis::now();
        let before_deadline = self.possibly_executed.iter().filter(|message| message.deadline > now);
        before_deadline.map(|message| message.message_id.clone()).collect()
    }

    fn update_latest_attempt(&mut self, execution: Option<&PossibleExecution>) {
        if let Some(execution) = execution {
            self.latest_attempt = self.latest_attempt.max(execution.sent_at);
        }
    }
}
