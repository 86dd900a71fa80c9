//! The call slots of this sender, which bound the number of calls in flight.

use crate::calls::CallId;

/// Counts the slots in use: one for each call of this process and, during a handover, those that another
/// process of this sender uses.
#[derive(Debug)]
pub(crate) struct CallSlots {
    total: usize,
    in_use: usize,
    used_by_peer: usize,
    next_call_id: u64,
}

impl CallSlots {
    /// Creates `total` slots, all of them free.
    pub fn new(total: usize) -> Self {
        Self { total, in_use: 0, used_by_peer: 0, next_call_id: 0 }
    }

    /// Sets how many slots another process of this sender uses.
    pub fn set_used_by_peer(&mut self, used: usize) {
        self.used_by_peer = used;
    }

    /// Number of free slots. At least one slot is never counted as used by the other process.
    pub fn free(&self) -> usize {
        let used_by_peer = self.used_by_peer.min(self.total.saturating_sub(1));
        self.total.saturating_sub(self.in_use + used_by_peer)
    }

    /// Takes a slot for a new call. Returns the id of the call.
    pub fn acquire(&mut self) -> CallId {
        let id = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.in_use += 1;
        id
    }

    /// Frees the slot of a call that has ended.
    pub fn release(&mut self) {
        self.in_use -= 1;
    }
}
