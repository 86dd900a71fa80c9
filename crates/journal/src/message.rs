//! Accepted messages with their attempt history, and pending notifications.

use std::rc::Rc;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;

use crate::MessageId;

/// Bytes reserved for a message in addition to its body, its key and twice its id.
const RECORD_OVERHEAD: usize = 768;

/// An attempt that may have been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PossibleExecution {
    /// When it was sent.
    pub at: UnixMillis,
    /// The receiver's id.
    pub receiver: Rc<str>,
    /// The name of the receiver's zone.
    pub zone: Rc<str>,
}

/// An accepted message with its attempt history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub message_id: MessageId,
    /// The name of its class.
    pub class: Rc<str>,
    /// The name of its tenant; empty where tenants are not used.
    pub tenant: Rc<str>,
    /// The number of its destination.
    pub destination: u16,
    /// Its idempotency key from the client.
    pub idempotency_key: Option<Bytes>,
    /// Its deadline.
    pub deadline: UnixMillis,
    /// Its body, which is forwarded unchanged: at most [`MAX_BODY`](crate::MAX_BODY) bytes.
    pub body: Bytes,
    /// Number of recorded attempts; each is recorded before its first byte is sent.
    pub attempts: u32,
    /// The earliest attempt that may have been executed.
    pub possibly_executed: Option<PossibleExecution>,
    /// The latest attempt, while its outcome is unknown.
    pub in_flight: Option<PossibleExecution>,
}

impl Message {
    /// Upper bound of the journal space that the message needs until it is acknowledged, in bytes: its record including the
    /// attempt history, and its notification.
    pub fn reserved_bytes(&self) -> u64 {
        let key_len = self.idempotency_key.as_ref().map_or(0, Bytes::len);
        (self.body.len() + key_len + 2 * self.message_id.len() + RECORD_OVERHEAD) as u64
    }

    /// Records that attempt number `attempt`, counted from 0, is sent.
    ///
    /// An earlier attempt without an outcome was interrupted by the exit of its process and may have been executed,
    /// independent of the outcome of this one.
    pub(crate) fn start_attempt(&mut self, attempt: u32, execution: Option<PossibleExecution>) {
        self.settle_in_flight(true);
        self.attempts = self.attempts.max(attempt.saturating_add(1));
        self.in_flight = execution;
    }

    /// Records the outcome of an attempt. `None` is the attempt in flight: older journals do not store its number.
    ///
    /// The outcome of an attempt whose batch could not be written is ignored: it is not the attempt in flight.
    pub(crate) fn finish_attempt(&mut self, attempt: Option<u32>, possibly_executed: bool) {
        if attempt.is_none_or(|attempt| self.attempts == attempt.saturating_add(1)) {
            self.settle_in_flight(possibly_executed);
        }
    }

    /// Completes the attempt in flight, if there is one. The earliest possible execution is kept.
    pub(crate) fn settle_in_flight(&mut self, possibly_executed: bool) {
        let execution = self.in_flight.take().filter(|_| possibly_executed);
        self.possibly_executed = self.possibly_executed.take().or(execution);
    }
}

/// A pending notification: the final status of an accepted message that was not delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingNotification {
    /// The message's id.
    pub message_id: MessageId,
    /// Its final status.
    pub status: Status,
}

/// The final status of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It failed permanently.
    Undeliverable,
    /// The client may submit it again, after this number of milliseconds if it is given.
    Deferred(Option<u64>),
}

/// The pending work of an owner that has exited, for its successor.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TakenOver {
    /// Messages that are not complete, with their attempt history.
    pub pending_messages: Vec<Message>,
    /// Notifications that have not been acknowledged.
    pub pending_notifications: Vec<PendingNotification>,
}
