//! Accepted messages with their attempt history, and pending notifications.

use std::rc::Rc;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;

use crate::MessageId;

/// Bytes reserved for a message in addition to its body, its idempotency key and twice its id.
const RECORD_OVERHEAD: usize = 768;

/// An attempt that a receiver may have executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
    /// When the attempt was recorded, before its first byte was sent.
    pub sent_at: UnixMillis,
    /// The id of the receiver that the attempt was sent to.
    pub receiver: Rc<str>,
    /// The name of that receiver's zone.
    pub zone: Rc<str>,
}

/// An accepted message with its attempt history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The id that the client chose, unique among the pending messages and notifications.
    pub message_id: MessageId,
    /// The name of the message's class.
    pub class: Rc<str>,
    /// The name of the message's tenant; empty if tenants are not used.
    pub tenant: Rc<str>,
    /// The number of the message's destination.
    pub destination: u16,
    /// The client's idempotency key; `None` if the request had none.
    pub idempotency_key: Option<Bytes>,
    /// The time until which the message may be delivered.
    pub deadline: UnixMillis,
    /// The body, which is forwarded unchanged: at most [`MAX_BODY`](crate::MAX_BODY) bytes.
    pub body: Bytes,
    /// Number of recorded attempts; an attempt is recorded before its first byte is sent.
    pub attempts: u32,
    /// The earliest finished or interrupted attempt that may have been executed.
    pub possibly_executed: Option<PossibleExecution>,
    /// The latest attempt while its outcome is unknown; `None` otherwise.
    pub in_flight: Option<PossibleExecution>,
}

impl Message {
    /// Upper bound of the journal space in bytes that the message needs until its notification is acknowledged: the message's
    /// record with the attempt history, and the notification's record.
    pub fn reserved_bytes(&self) -> u64 {
        let key_len = self.idempotency_key.as_ref().map_or(0, Bytes::len);
        (self.body.len() + key_len + 2 * self.message_id.len() + RECORD_OVERHEAD) as u64
    }

    /// Records the start of attempt number `attempt`, counted from 0.
    ///
    /// An earlier attempt without an outcome was interrupted by the exit of its process. It may have been executed, whatever
    /// the outcome of this attempt is.
    pub(crate) fn start_attempt(&mut self, attempt: u32, execution: Option<PossibleExecution>) {
        self.finish_in_flight(true);
        self.attempts = self.attempts.max(attempt.saturating_add(1));
        self.in_flight = execution;
    }

    /// Takes back the start of an attempt that could not be written.
    pub(crate) fn discard_attempt(&mut self, attempt: u32) {
        if self.attempts == attempt.saturating_add(1) {
            self.attempts = attempt;
            self.in_flight = None;
        }
    }

    /// Records the outcome of an attempt. `None` stands for the attempt in flight, because older versions did not store the
    /// number of the attempt.
    ///
    /// The outcome of an attempt whose start could not be written is ignored, because it is not the attempt in flight.
    pub(crate) fn finish_attempt(&mut self, attempt: Option<u32>, possibly_executed: bool) {
        if attempt.is_none_or(|attempt| self.attempts == attempt.saturating_add(1)) {
            self.finish_in_flight(possibly_executed);
        }
    }

    /// Finishes the attempt in flight, if there is one. An earlier possible execution is kept.
    pub(crate) fn finish_in_flight(&mut self, possibly_executed: bool) {
        let execution = self.in_flight.take().filter(|_| possibly_executed);
        self.possibly_executed = self.possibly_executed.take().or(execution);
    }
}

/// A notification to the platform that is not acknowledged: the final status of an accepted message that was not delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingNotification {
    /// The id of the message.
    pub message_id: MessageId,
    /// The final status of the message.
    pub status: Status,
}

/// The final status of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The message failed permanently.
    Undeliverable,
    /// The client may submit the message again: after this number of milliseconds, or at any time if `None`.
    Deferred(Option<u64>),
}

/// The pending messages and notifications of an owner that has exited, for its successor.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenOver {
    /// Messages that are not complete, with their attempt history.
    pub pending_messages: Vec<Message>,
    /// Notifications that the platform has not acknowledged.
    pub pending_notifications: Vec<PendingNotification>,
}
