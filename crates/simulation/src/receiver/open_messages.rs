//! The messages of a sender without a final outcome.

use std::collections::BTreeMap;

use rudderspindle_policy::interface::{DestinationId, Message, MessageHandle, Millis};

/// A message without a final outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenMessage {
    pub class: usize,
    pub submitted_at: Millis,
    pub attempts: u32,
}

/// A sender's open messages by id, which survive a restart.
pub(super) type OpenMessages = BTreeMap<u32, OpenMessage>;

/// A message to the receiver, as the policy's events carry it.
pub(super) fn message(id: u32, class: usize, time_left: Millis) -> Message {
    Message {
        id: MessageHandle(id),
        class,
        tenant: 0,
        ordering_key: 0,
        time_left,
        work_estimate: None,
        destination: DestinationId(0),
    }
}
