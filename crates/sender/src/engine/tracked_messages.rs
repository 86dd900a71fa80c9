//! The messages that the engine has accepted or decides about, until they are complete.

use std::collections::HashMap;

use bytes::Bytes;
use rudderspindle_gossip::ReceiverId;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::MessageHandle;
use tokio::time::Instant;

use crate::event::SubmissionId;

/// Maximum number of clients that may submit the same message; further ones are refused.
pub(super) const MAX_CLIENTS_PER_MESSAGE: usize = 4;

/// A tracked message.
#[derive(Debug)]
pub(super) struct TrackedMessage {
    /// The id that the client gave it.
    pub message_id: MessageId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Whether an earlier process accepted it and responded to its client.
    pub recovered: bool,
    /// Its submissions, without those whose client disconnected before the response. While there is one, a client may
    /// have the response that the message is accepted, and it must not be withdrawn.
    pub submissions: Vec<SubmissionId>,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<Bytes>,
    /// Its payload.
    pub body: Bytes,
    /// Its deadline.
    pub deadline: Instant,
    /// Number of attempts on record.
    pub attempts: u32,
    /// The receiver of the attempt in flight.
    pub receiver: Option<ReceiverId>,
}

/// A message without submissions that is no longer tracked.
#[derive(Debug)]
pub(super) struct WithdrawnMessage {
    /// Its handle.
    pub handle: MessageHandle,
    /// The id that the client gave it.
    pub message_id: MessageId,
}

impl TrackedMessage {
    /// Number of clients that may have the response that the message is accepted.
    fn clients(&self) -> usize {
        self.submissions.len() + usize::from(self.recovered)
    }
}

/// The tracked messages by handle, by id and by submission.
#[derive(Debug, Default)]
pub(super) struct TrackedMessages {
    messages: HashMap<MessageHandle, TrackedMessage>,
    by_id: HashMap<MessageId, MessageHandle>,
    by_submission: HashMap<SubmissionId, MessageHandle>,
    next_handle: u32,
}

impl TrackedMessages {
    /// Number of messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether there is no message.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether this message is tracked.
    pub fn contains(&self, handle: MessageHandle) -> bool {
        self.messages.contains_key(&handle)
    }

    /// A message by its handle.
    pub fn get(&self, handle: MessageHandle) -> Option<&TrackedMessage> {
        self.messages.get(&handle)
    }

    /// A message by its handle, for changes.
    pub fn get_mut(&mut self, handle: MessageHandle) -> Option<&mut TrackedMessage> {
        self.messages.get_mut(&handle)
    }

    /// The handle of the message with this id.
    pub fn find(&self, message_id: &MessageId) -> Option<MessageHandle> {
        self.by_id.get(message_id).copied()
    }

    /// Tracks a message under a new handle that is not `in_use`.
    pub fn insert(
        &mut self,
        message: TrackedMessage,
        in_use: impl Fn(MessageHandle) -> bool,
    ) -> MessageHandle {
        let mut handle = MessageHandle(self.next_handle);
        while self.contains(handle) || in_use(handle) {
            handle = MessageHandle(handle.0.wrapping_add(1));
        }
        self.next_handle = handle.0.wrapping_add(1);
        self.by_id.insert(message.message_id.clone(), handle);
        for id in &message.submissions {
            self.by_submission.insert(*id, handle);
        }
        self.messages.insert(handle, message);
        handle
    }

    /// Adds a submission to a tracked message; returns `false` if it has too many.
    pub fn add_submission(&mut self, handle: MessageHandle, id: SubmissionId) -> bool {
        let Some(message) = self.messages.get_mut(&handle) else { return false };
        if message.clients() >= MAX_CLIENTS_PER_MESSAGE {
            return false;
        }
        message.submissions.push(id);
        self.by_submission.insert(id, handle);
        true
    }

    /// Removes a submission; if no client is left, stops tracking its message and returns it.
    pub fn withdraw(&mut self, id: SubmissionId) -> Option<WithdrawnMessage> {
        let handle = self.by_submission.remove(&id)?;
        let message = self.messages.get_mut(&handle)?;
        message.submissions.retain(|&other| other != id);
        if message.clients() > 0 {
            return None;
        }
        let message_id = self.remove(handle)?.message_id;
        Some(WithdrawnMessage { handle, message_id })
    }

    /// Stops tracking a message.
    pub fn remove(&mut self, handle: MessageHandle) -> Option<TrackedMessage> {
        let message = self.messages.remove(&handle)?;
        self.by_id.remove(&message.message_id);
        for id in &message.submissions {
            self.by_submission.remove(id);
        }
        Some(message)
    }

    /// Total size of the three maps.
    #[cfg(test)]
    pub fn entries(&self) -> usize {
        self.messages.len() + self.by_id.len() + self.by_submission.len()
    }
}

#[cfg(test)]
mod tests;
