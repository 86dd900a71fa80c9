//! Decides which client connection is closed when slots are scarce. Does no I/O and reads no clock.
//!
//! Idle connections, which have had a response and have no open request, take at most 1 / [`IDLE_SLOTS_DIVISOR`] of the
//! slots, even if other slots are free. If more are idle, the longest idle one is closed; connections with one response
//! so far are closed before connections with several. If all slots are taken, connections are evicted in this order:
//!
//! 1. connections that are being closed;
//! 2. connections that have sent no request for over [`NEW_CONNECTION_GRACE`] since they were accepted, beginning with
//!    the address that has most of them;
//! 3. idle connections;
//! 4. other new connections.

mod candidates;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

/// A connection's number, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Idle connections take at most 1 / `IDLE_SLOTS_DIVISOR` of the slots.
const IDLE_SLOTS_DIVISOR: usize = 4;
/// Time after which a new connection without a request may be evicted ahead of idle connections.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);

/// The state of a connection in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// No response has been sent, and no request is open.
    New,
    /// One response has been sent, and no request is open.
    IdleAfterFirst,
    /// Several responses have been sent, and no request is open.
    IdleAfterSeveral,
    /// A complete request has been received, and its response has not been sent.
    RequestOpen,
    /// The connection is being closed; received bytes are discarded.
    Closing,
}

#[derive(Debug)]
struct Slot {
    address: IpAddr,
    state: SlotState,
    /// When the connection entered its state.
    entered_at: Duration,
    /// Number of responses that were sent on the connection.
    response_count: u32,
}

/// A connection in the queue of its state, ordered by when it entered the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    entered_at: Duration,
    id: ConnectionId,
}

type Queue = BTreeSet<QueueEntry>;

/// The connections that hold a slot. All times are measured from the same arbitrary origin.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_idle: usize,
    slots: HashMap<ConnectionId, Slot>,
    // One queue for each state except `SlotState::RequestOpen`.
    new: Queue,
    idle_after_first: Queue,
    idle_after_several: Queue,
    closing: Queue,
}

impl ConnectionSlots {
    /// Creates `total` free slots.
    pub fn new(total: usize) -> Self {
        Self {
            max_idle: (total / IDLE_SLOTS_DIVISOR).max(1),
            slots: HashMap::new(),
            new: Queue::new(),
            idle_after_first: Queue::new(),
            idle_after_several: Queue::new(),
            closing: Queue::new(),
        }
    }

    /// Records a connection that was accepted from `address`.
    pub fn opened(&mut self, id: ConnectionId, address: IpAddr, now: Duration) {
        self.closed(id);
        self.slots.insert(id, Slot { address, state: SlotState::New, entered_at: now, response_count: 0 });
        self.new.insert(QueueEntry { entered_at: now, id });
    }

    /// Records that a complete request was received.
    pub fn request_started(&mut self, id: ConnectionId, now: Duration) {
        self.set_state(id, SlotState::RequestOpen, now);
    }

    /// Records that the response to the request is ready. Returns another connection to close if too many are idle.
    /// `request_arriving` returns whether part of a connection's next request has been received; such a connection is
    /// not closed.
    pub fn request_finished(
        &mut self,
        id: ConnectionId,
        now: Duration,
        request_arriving: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let slot = self.slots.get_mut(&id)?;
        slot.response_count = slot.response_count.saturating_add(1);
        let state =
            if slot.response_count == 1 { SlotState::IdleAfterFirst } else { SlotState::IdleAfterSeveral };
        self.set_state(id, state, now);
        if self.idle_connections() <= self.max_idle {
            return None;
        }
        let mut idle = self.idle_after_first.iter().chain(&self.idle_after_several);
        let surplus = idle.find(|entry| entry.id != id && !request_arriving(entry.id))?.id;
        self.close_started(surplus, now);
        Some(surplus)
    }

    /// Records that the connection is being closed.
    pub fn close_started(&mut self, id: ConnectionId, now: Duration) {
        self.set_state(id, SlotState::Closing, now);
    }

    /// Records that the connection is closed, and frees its slot.
    pub fn closed(&mut self, id: ConnectionId) {
        if let Some(slot) = self.slots.remove(&id)
            && let Some(queue) = self.queue(slot.state)
        {
            queue.remove(&QueueEntry { entered_at: slot.entered_at, id });
        }
    }

    /// Removes and returns the connection to close when all slots are taken; `None` if no connection can be evicted.
    /// `request_arriving` returns whether part of a connection's next request has been received. `has_unread` returns
    /// whether received bytes have not been read; it is called for few connections because it makes a system call.
    pub fn evict(
        &mut self,
        now: Duration,
        request_arriving: impl Fn(ConnectionId) -> bool,
        has_unread: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let mut excluded = HashSet::new();
        loop {
            let candidate = self.eviction_candidate(now, &request_arriving, &excluded)?;
            if self.slots[&candidate].state == SlotState::Closing || !has_unread(candidate) {
                self.closed(candidate);
                return Some(candidate);
            }
            excluded.insert(candidate);
        }
    }

    fn idle_connections(&self) -> usize {
        self.idle_after_first.len() + self.idle_after_several.len()
    }

    fn set_state(&mut self, id: ConnectionId, state: SlotState, now: Duration) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let previous_state = std::mem::replace(&mut slot.state, state);
        let previous_entered_at = std::mem::replace(&mut slot.entered_at, now);
        if let Some(queue) = self.queue(previous_state) {
            queue.remove(&QueueEntry { entered_at: previous_entered_at, id });
        }
        if let Some(queue) = self.queue(state) {
            queue.insert(QueueEntry { entered_at: now, id });
        }
    }

    fn queue(&mut self, state: SlotState) -> Option<&mut Queue> {
        match state {
            SlotState::New => Some(&mut self.new),
            SlotState::IdleAfterFirst => Some(&mut self.idle_after_first),
            SlotState::IdleAfterSeveral => Some(&mut self.idle_after_several),
            SlotState::Closing => Some(&mut self.closing),
            SlotState::RequestOpen => None,
        }
    }
}

#[cfg(test)]
mod tests;
