//! The pending messages and notifications of a journal by message id, each with the segment that it can be restored from.

use std::collections::HashMap;

use crate::MessageId;
use crate::message::{Message, PendingNotification, Status, TakenOver};
use crate::record::FRAME_LEN;

/// Bytes reserved for a notification's record in addition to the frame and the message id.
const NOTIFICATION_OVERHEAD: usize = 16;

/// A pending message or a pending notification, with its place in the journal.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Number of the segment that holds the latest record from which the entry can be restored.
    pub segment: u64,
    /// The pending message or notification.
    pub state: EntryState,
}

/// The pending part of a message's processing.
#[derive(Debug)]
pub(crate) enum EntryState {
    /// The message is not complete.
    Message(Message),
    /// The message is complete, and the notification of this status is not acknowledged.
    Notification(Status),
}

impl Entry {
    fn message(&self) -> Option<&Message> {
        match &self.state {
            EntryState::Message(message) => Some(message),
            EntryState::Notification(_) => None,
        }
    }

    fn message_mut(&mut self) -> Option<&mut Message> {
        match &mut self.state {
            EntryState::Message(message) => Some(message),
            EntryState::Notification(_) => None,
        }
    }

    fn reserved_bytes(&self, message_id: &MessageId) -> u64 {
        match &self.state {
            EntryState::Message(message) => message.reserved_bytes(),
            EntryState::Notification(_) => (message_id.len() + FRAME_LEN + NOTIFICATION_OVERHEAD) as u64,
        }
    }
}

/// All entries of a journal by message id, with the sum of their reserved space.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    by_id: HashMap<MessageId, Entry>,
    reserved_bytes: u64,
}

impl Entries {
    /// Journal space reserved for all entries, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Whether the message has an entry.
    pub fn contains(&self, message_id: &str) -> bool {
        self.by_id.contains_key(message_id)
    }

    /// Adds an entry, or replaces the earlier entry of the same message.
    pub fn insert(&mut self, message_id: MessageId, entry: Entry) {
        self.remove(&message_id);
        self.reserved_bytes += entry.reserved_bytes(&message_id);
        self.by_id.insert(message_id, entry);
    }

    /// Removes an entry; returns false if the message has none.
    pub fn remove(&mut self, message_id: &MessageId) -> bool {
        let Some(entry) = self.by_id.remove(message_id) else { return false };
        self.reserved_bytes -= entry.reserved_bytes(message_id);
        true
    }

    /// The messages that are not complete, in no particular order.
    pub fn pending_messages(&self) -> impl Iterator<Item = &Message> {
        self.by_id.values().filter_map(Entry::message)
    }

    /// The message with this id, or `None` if it is complete or unknown.
    pub fn pending_message(&self, message_id: &MessageId) -> Option<&Message> {
        self.by_id.get(message_id)?.message()
    }

    /// Like [`Entries::pending_message`]. The caller must not change the length of the body, the key or the id, because the
    /// reserved space depends on them.
    pub fn pending_message_mut(&mut self, message_id: &MessageId) -> Option<&mut Message> {
        self.by_id.get_mut(message_id)?.message_mut()
    }

    /// The notifications that the platform has not acknowledged, in no particular order.
    pub fn pending_notifications(&self) -> impl Iterator<Item = PendingNotification> + '_ {
        self.by_id.iter().filter_map(|(message_id, entry)| match entry.state {
            EntryState::Notification(status) => {
                Some(PendingNotification { message_id: message_id.clone(), status })
            }
            EntryState::Message(_) => None,
        })
    }

    /// The entries that are restored from a segment, see [`Entry::segment`], in no particular order.
    pub fn in_segment(&self, segment: u64) -> impl Iterator<Item = (&MessageId, &Entry)> {
        self.by_id.iter().filter(move |(_, entry)| entry.segment == segment)
    }

    /// Assigns the entries of segment `from` to segment `to`, where compaction has written them again.
    pub fn move_segment(&mut self, from: u64, to: u64) {
        let moved = self.by_id.values_mut().filter(|entry| entry.segment == from);
        moved.for_each(|entry| entry.segment = to);
    }

    /// Marks the attempts in flight as possibly executed, because their process exited before their outcomes were recorded.
    pub fn interrupt_attempts(&mut self) {
        let messages = self.by_id.values_mut().filter_map(Entry::message_mut);
        messages.for_each(|message| message.finish_in_flight(true));
    }

    /// Adds the entries of an earlier process, and returns the added ones. An entry whose id this process has too is not
    /// added, because the earlier process's message is then complete.
    pub fn add_older(&mut self, older: Self) -> TakenOver {
        let mut taken_over = TakenOver::default();
        for (message_id, entry) in older.by_id {
            if self.contains(&message_id) {
                continue;
            }
            match &entry.state {
                EntryState::Message(message) => taken_over.pending_messages.push(message.clone()),
                EntryState::Notification(status) => {
                    let notification =
                        PendingNotification { message_id: message_id.clone(), status: *status };
                    taken_over.pending_notifications.push(notification);
                }
            }
            self.insert(message_id, entry);
        }
        taken_over
    }
}
