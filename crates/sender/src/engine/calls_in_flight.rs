//! The calls in flight, and the number of calls that was last announced to the peer process (the successor or
//! predecessor during a takeover).

use std::collections::HashMap;

use rudderspindle_policy::interface::MessageHandle;

use crate::handover::HandoverMessage;
use crate::outbound::CallHandle;

/// The calls in flight, at most one for each message.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    /// The calls, by the handle of the message that the call delivers.
    calls: HashMap<MessageHandle, CallHandle>,
    /// The number of calls that was last announced to the peer process.
    announced_count: usize,
}

impl CallsInFlight {
    /// Number of calls in flight.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in flight.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call for this message is in flight.
    pub fn contains(&self, message: MessageHandle) -> bool {
        self.calls.contains_key(&message)
    }

    /// Adds the call for a message.
    pub fn insert(&mut self, message: MessageHandle, call: CallHandle) {
        self.calls.insert(message, call);
    }

    /// Removes the call for a message once its outcome is known.
    pub fn remove(&mut self, message: MessageHandle) {
        self.calls.remove(&message);
    }

    /// Cancels the call of this attempt if it is in flight. The call still reports its outcome. The message is not sent
    /// again before that report, so that no outcome is assigned to a different attempt.
    pub fn cancel(&self, message: MessageHandle, attempt: u32) {
        if let Some(call) = self.calls.get(&message).filter(|call| call.attempt == attempt) {
            call.cancel();
        }
    }

    /// Cancels all calls.
    pub fn cancel_all(&self) {
        for call in self.calls.values() {
            call.cancel();
        }
    }

    /// Whether the number of calls differs from the number that was last announced to the peer process.
    pub fn is_announcement_due(&self) -> bool {
        self.announced_count != self.calls.len()
    }

    /// Returns the message that announces the number of calls to the peer process, and stores that number as announced.
    pub fn announce(&mut self) -> HandoverMessage {
        self.announced_count = self.calls.len();
        HandoverMessage::CallsInFlight(self.announced_count)
    }

    /// Handles of the messages whose calls are in flight.
    #[cfg(test)]
    pub fn message_handles(&self) -> impl Iterator<Item = MessageHandle> + '_ {
        self.calls.keys().copied()
    }
}
