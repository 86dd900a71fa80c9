//! Ids of messages that were completed a short time ago and may have been executed.
//!
//! A client can submit the id of such a message again. If the message were accepted as a new one, its receiver would
//! execute the id twice, so the submission is answered from here instead.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rudderspindle_journal::MessageId;
use tokio::time::Instant;

use super::tracked_messages::TrackedMessage;
use crate::event::ContentHash;

/// Maximum number of ids. Beyond it the oldest ids are removed first.
const MAX_COMPLETED_MESSAGES: usize = 16_384;

/// What is known of a message that was completed and may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// A receiver executed the message.
    Delivered,
    /// A receiver may have executed the message: it failed, or its clients withdrew it after an attempt.
    PossiblyExecuted,
}

/// A message that was completed and may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CompletedMessage {
    /// How the message was completed.
    pub completion: Completion,
    /// The hash of the message's content; `None` if the message was completed by an earlier process.
    pub content: Option<ContentHash>,
}

impl CompletedMessage {
    /// The entry of a message of this process.
    pub fn new(completion: Completion, message: &TrackedMessage) -> Self {
        Self { completion, content: Some(message.content().hash()) }
    }

    /// The entry of a message that an earlier process completed, of which only the id is known.
    pub const RECOVERED: Self = Self { completion: Completion::PossiblyExecuted, content: None };

    /// Whether a submission with this content cannot be of the completed message.
    pub fn is_other_message(&self, content: ContentHash) -> bool {
        self.content.is_some_and(|own| own != content)
    }
}

/// When an id is removed.
#[derive(Debug)]
struct Expiry {
    at: Instant,
    message_id: MessageId,
}

/// The completed messages by id, each for the retention time after it was added.
#[derive(Debug)]
pub(super) struct CompletedMessages {
    retention: Duration,
    by_message_id: HashMap<MessageId, CompletedMessage>,
    /// In the order in which the ids were added, which is the order of their expiry.
    expiries: VecDeque<Expiry>,
}

impl CompletedMessages {
    /// Creates an empty set that keeps each id for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { retention, by_message_id: HashMap::new(), expiries: VecDeque::new() }
    }

    /// Adds a message that is completed at `now`. If its id is known already, the earlier entry is kept.
    pub fn insert(&mut self, now: Instant, message_id: MessageId, message: CompletedMessage) {
        if self.by_message_id.contains_key(&message_id) {
            return;
        }
        self.by_message_id.insert(message_id.clone(), message);
        self.expiries.push_back(Expiry { at: now + self.retention, message_id });
        if self.expiries.len() > MAX_COMPLETED_MESSAGES {
            self.remove_oldest();
        }
    }

    /// The completed message with this id; `None` if it is unknown.
    pub fn find(&self, message_id: &MessageId) -> Option<CompletedMessage> {
        self.by_message_id.get(message_id).copied()
    }

    /// Removes the ids whose retention has ended.
    pub fn remove_expired(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.expiries.pop_front() {
            self.by_message_id.remove(&oldest.message_id);
        }
    }

    /// Number of ids.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_message_id.len()
    }
}

#[cfg(test)]
mod tests;
