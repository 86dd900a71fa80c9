//! The messages that one sender accepted within one slice.

use crate::key::Key;
use crate::slice::Slice;
use crate::space_saving::{MAX_COUNT, SpaceSaving};

/// The counts of one slice.
#[derive(Clone, Debug)]
pub struct SliceCounts {
    /// Number of messages accepted, at most 2^40.
    pub total: u64,
    /// Their streams.
    pub streams: SpaceSaving,
    /// Their idempotency keys.
    pub keys: SpaceSaving,
}

impl SliceCounts {
    /// Empty counts with sketches of `entries` entries; the slice's number is the salt that breaks ties.
    #[must_use]
    pub fn new(slice: Slice, entries: usize) -> Self {
        Self {
            total: 0,
            streams: SpaceSaving::new(entries, slice.0),
            keys: SpaceSaving::new(entries, slice.0),
        }
    }

    /// Counts one message.
    pub(crate) fn record(&mut self, stream: Key, idempotency_key: Option<Key>) {
        self.total = (self.total + 1).min(MAX_COUNT);
        self.streams.add(stream, 1);
        if let Some(key) = idempotency_key {
            self.keys.add(key, 1);
        }
    }
}
