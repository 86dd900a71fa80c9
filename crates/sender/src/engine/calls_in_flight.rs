//! The calls in flight, and their number as last announced to the peer process.

use std::collections::HashMap;

use rudderspindle_policy::interface::MessageHandle;

use crate::handover::HandoverMessage;
use crate::outbound::CallHandle;

/// The calls in flight, at most one for each message.
#[derive(Debug, Default)]
pub(super) struct CallsInFlight {
    handles: HashMap<MessageHandle, CallHandle>,
    /// Number of calls as last announced to the peer process.
    announced: usize,
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

    /// Whether a call of this message is in flight.
    pub fn contains(&self, id: MessageHandle) -> bool {
        self.handles.contains_key(&id)
    }

    /// Adds the call of a message.
    pub fn insert(&mut self, id: MessageHandle, call: CallHandle) {
        self.handles.insert(id, call);
    }

    /// Removes the call of a message, whose outcome is known.
    pub fn remove(&mut self, id: MessageHandle) {
        self.handles.remove(&id);
    }

    /// Cancels the call that makes this attempt, if it is in flight. The call reports its outcome as usual, and the
    /// message is not sent again before that: no attempt's outcome is taken for that of another.
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

    /// Whether the number of calls differs from the one last announced.
    pub fn is_announcement_due(&self) -> bool {
        self.announced != self.handles.len()
    }

    /// The message that announces the number of calls to the peer process.
    pub fn announce(&mut self) -> HandoverMessage {
        self.announced = self.handles.len();
        HandoverMessage::CallsInFlight(self.announced)
    }

    /// The messages whose calls are in flight.
    #[cfg(test)]
    pub fn ids(&self) -> impl Iterator<Item = MessageHandle> + '_ {
        self.handles.keys().copied()
    }
}
