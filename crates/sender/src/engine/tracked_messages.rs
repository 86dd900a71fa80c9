//! The messages that are accepted or wait for the policy's decision, until they are complete.

use std::collections::HashMap;

use bytes::Bytes;
use rudderspindle_gossip::ReceiverId;
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::{DestinationId, MessageHandle};
use tokio::time::Instant;

use super::message_content::MessageContent;
use crate::event::SubmissionId;

/// Maximum number of clients that may submit the same message; submissions of further clients are refused.
pub(super) const MAX_CLIENTS_PER_MESSAGE: usize = 4;

/// A tracked message.
#[derive(Debug)]
pub(super) struct TrackedMessage {
    /// The id that the client gave the message.
    pub message_id: MessageId,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Index of the message's tenant in the settings; `usize::MAX` if the settings no longer have the tenant.
    pub tenant: usize,
    /// The message's destination.
    pub destination: DestinationId,
    /// Whether an earlier process accepted the message and responded to its client.
    pub recovered: bool,
    /// The message's submissions, without those whose client disconnected before the response. While a submission
    /// remains, its client may have received the response that the message is accepted, and the message must not be
    /// withdrawn.
    pub submissions: Vec<SubmissionId>,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<Bytes>,
    /// The message's payload.
    pub body: Bytes,
    /// The message's deadline.
    pub deadline: Instant,
    /// Number of attempts that were started.
    pub attempts: u32,
    /// The receiver of the attempt in flight; `None` if no attempt is in flight or the receiver's destination is
    /// unknown.
    pub called_receiver: Option<ReceiverId>,
}

/// A message that is no longer tracked because all of its clients have disconnected.
#[derive(Debug)]
pub(super) struct WithdrawnMessage {
    /// The handle that the message had.
    pub handle: MessageHandle,
    /// The message.
    pub message: TrackedMessage,
}

impl TrackedMessage {
    /// The message's content.
    pub fn content(&self) -> MessageContent<'_> {
        MessageContent {
            class: self.class,
            tenant: self.tenant,
            destination: self.destination,
            idempotency_key: self.idempotency_key.as_ref(),
            body: &self.body,
        }
    }

    /// Number of clients that may have received the response that the message is accepted.
    fn client_count(&self) -> usize {
        self.submissions.len() + usize::from(self.recovered)
    }
}

/// The tracked messages by handle, by id and by submission.
#[derive(Debug, Default)]
pub(super) struct TrackedMessages {
    messages: HashMap<MessageHandle, TrackedMessage>,
    by_message_id: HashMap<MessageId, MessageHandle>,
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

    /// Whether a message with this handle is tracked.
    pub fn contains(&self, handle: MessageHandle) -> bool {
        self.messages.contains_key(&handle)
    }

    /// The message with this handle.
    pub fn get(&self, handle: MessageHandle) -> Option<&TrackedMessage> {
        self.messages.get(&handle)
    }

    /// The message with this handle, mutably.
    pub fn get_mut(&mut self, handle: MessageHandle) -> Option<&mut TrackedMessage> {
        self.messages.get_mut(&handle)
    }

    /// The handle of the message with this id.
    pub fn find(&self, message_id: &MessageId) -> Option<MessageHandle> {
        self.by_message_id.get(message_id).copied()
    }

    /// Tracks a message under a new handle that no tracked message has and for which `in_use` is false.
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
        self.by_message_id.insert(message.message_id.clone(), handle);
        for submission in &message.submissions {
            self.by_submission.insert(*submission, handle);
        }
        self.messages.insert(handle, message);
        handle
    }

    /// Adds a submission to a tracked message. Returns `false` if the message is not tracked or already has
    /// [`MAX_CLIENTS_PER_MESSAGE`] clients.
    pub fn add_submission(&mut self, handle: MessageHandle, id: SubmissionId) -> bool {
        let Some(message) = self.messages.get_mut(&handle) else { return false };
        if message.client_count() >= MAX_CLIENTS_PER_MESSAGE {
            return false;
        }
        message.submissions.push(id);
        self.by_submission.insert(id, handle);
        true
    }

    /// Removes a submission. If its message has no other client, stops tracking the message and returns it.
    pub fn withdraw(&mut self, id: SubmissionId) -> Option<WithdrawnMessage> {
        let handle = self.by_submission.remove(&id)?;
        let message = self.messages.get_mut(&handle)?;
        message.submissions.retain(|&other| other != id);
        if message.client_count() > 0 {
            return None;
        }
        let message = self.remove(handle)?;
        Some(WithdrawnMessage { handle, message })
    }

    /// Stops tracking a message.
    pub fn remove(&mut self, handle: MessageHandle) -> Option<TrackedMessage> {
        let message = self.messages.remove(&handle)?;
        self.by_message_id.remove(&message.message_id);
        for submission in &message.submissions {
            self.by_submission.remove(submission);
        }
        Some(message)
    }

    /// Total number of entries of the three maps.
    #[cfg(test)]
    pub fn entry_count(&self) -> usize {
        self.messages.len() + self.by_message_id.len() + self.by_submission.len()
    }
}

#[cfg(test)]
mod tests;
