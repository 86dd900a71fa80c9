//! Counts of the messages that one sender accepted within one slice.

use crate::key::Key;
use crate::slice::Slice;
use crate::space_saving::{MAX_COUNT, SpaceSaving};

/// The counts of one slice, by stream and by idempotency key.
#[derive(Clone, Debug)]
pub struct SliceCounts {
    /// Number of messages accepted, at most 2^40.
    pub total: u64,
    /// Sketch of the streams of these messages.
    pub streams: SpaceSaving,
    /// Sketch of the idempotency keys of these messages.
    pub idempotency_keys: SpaceSaving,
}

impl SliceCounts {
    /// Creates empty counts with sketches of `sketch_capacity` entries. The index of the slice is the salt by
    /// which equal counts are ordered.
    #[must_use]
    pub fn new(slice: Slice, sketch_capacity: usize) -> Self {
        Self {
            total: 0,
            streams: SpaceSaving::new(sketch_capacity, slice.0),
            idempotency_keys: SpaceSaving::new(sketch_capacity, slice.0),
        }
    }

    /// Counts one message of a stream, with its idempotency key if it has one.
    pub(crate) fn record(&mut self, stream: Key, idempotency_key: Option<Key>) {
        self.total = (self.total + 1).min(MAX_COUNT);
        self.streams.add(stream, 1);
        if let Some(key) = idempotency_key {
            self.idempotency_keys.add(key, 1);
        }
    }
}
