//! The handles of the calls in flight, and the number of calls that was last announced to the peer process.

use std::collections::HashMap;

use rudderspindle_policy::interface::MessageHandle;

use crate::handover::HandoverMessage;
use crate::outbound::CallHandle;

/// The calls in flight, at most one for each message.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    handles: HashMap<MessageHandle, CallHandle>,
    /// The number of calls that was last announced to the peer process.
    announced_count: usize,
}

impl CallsInFlight {
    /// Number of calls.
    pub fn len(&self) -> usize {
        self.handles.len()
    }

    /// Whether no call is in flight.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.handles.is_empty()
    }

    /// Whether a call for this message is in flight.
    pub fn contains(&self, id: MessageHandle) -> bool {
        self.handles.contains_key(&id)
    }

    /// Adds the call for a message.
    pub fn insert(&mut self, id: MessageHandle, call: CallHandle) {
        self.handles.insert(id, call);
    }

    /// Removes the call for a message once its outcome is known.
    pub fn remove(&mut self, id: MessageHandle) {
        self.handles.remove(&id);
    }

    /// Cancels the call of this attempt if it is in flight. The call still reports its outcome, and the message is not
    /// sent again before that, so that no outcome is assigned to a different attempt.
    pub fn cancel(&self, id: MessageHandle, attempt: u32) {
        if let Some(call) = self.handles.get(&id).filter(|call| call.attempt == attempt) {
            call.cancel();
        }
    }

    /// Cancels all calls.
    pub fn cancel_all(&self) {
        for call in self.handles.values() {
            call.cancel();
        }
    }

    /// Whether the number of calls differs from the number last announced.
    pub fn is_announcement_due(&self) -> bool {
        self.announced_count != self.handles.len()
    }

    /// Returns the message that announces the number of calls, and counts that number as announced.
    pub fn announce(&mut self) -> HandoverMessage {
        self.announced_count = self.handles.len();
        HandoverMessage::CallsInFlight(self.announced_count)
    }

    /// Handles of the messages whose calls are in flight.
    #[cfg(test)]
    pub fn ids(&self) -> impl Iterator<Item = MessageHandle> + '_ {
        self.handles.keys().copied()
    }
}
