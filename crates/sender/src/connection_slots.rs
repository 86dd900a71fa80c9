//! Decides which client connection is closed when connections are scarce. No I/O and no clock.
//!
//! A client that keeps its connection after a response takes a slot that others need. Idle connections (no request
//! open) therefore hold at most one in [`IDLE_SHARE_DIVISOR`] slots, however many are free: beyond that the one that
//! has been idle longest is closed, and one that sent a single request before one that has sent several. When all
//! slots are taken, closing connections are no longer waited for; then silent newcomers are closed first, from the
//! address that holds most of them.

mod candidates;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

/// A connection's number, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Idle connections may hold one slot in so many.
const IDLE_SHARE_DIVISOR: usize = 4;
/// A client connects because it has something to send: one that is silent for longer is closed first when slots run
/// out.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// It has had no response yet.
    New,
    /// It has had one response and has no request open.
    IdleAfterFirst,
    /// It has had several responses and has no request open.
    IdleAfterSeveral,
    /// A complete request has been received and has no response yet.
    RequestOpen,
    /// It is being closed, and what its client still sends is discarded.
    Closing,
}

#[derive(Debug)]
struct Slot {
    address: IpAddr,
    state: SlotState,
    /// When it entered its state.
    since: Duration,
    responses: u32,
}

/// A connection in the queue of its state, ordered by the time since when it has been there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    since: Duration,
    id: ConnectionId,
}

type Queue = BTreeSet<QueueEntry>;

/// The connections that hold a slot. Times count from any moment, the same for all.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_idle: usize,
    slots: HashMap<ConnectionId, Slot>,
    /// The connections of each state but [`SlotState::RequestOpen`].
    new: Queue,
    idle_after_first: Queue,
    idle_after_several: Queue,
    closing: Queue,
}

impl ConnectionSlots {
    /// All of `total` slots are free.
    pub fn new(total: usize) -> Self {
        Self {
            max_idle: (total / IDLE_SHARE_DIVISOR).max(1),
            slots: HashMap::new(),
            new: Queue::new(),
            idle_after_first: Queue::new(),
            idle_after_several: Queue::new(),
            closing: Queue::new(),
        }
    }

    /// A connection was accepted from `address`.
    pub fn opened(&mut self, id: ConnectionId, address: IpAddr, now: Duration) {
        self.closed(id);
        self.slots.insert(id, Slot { address, state: SlotState::New, since: now, responses: 0 });
        self.new.insert(QueueEntry { since: now, id });
    }

    /// A complete request was received.
    pub fn request_started(&mut self, id: ConnectionId, now: Duration) {
        self.set_state(id, SlotState::RequestOpen, now);
    }

    /// The request has its response. Returns another connection that must be closed for it if too many are idle;
    /// `request_arriving` tells whether some of a connection's next request has been received.
    pub fn request_finished(
        &mut self,
        id: ConnectionId,
        now: Duration,
        request_arriving: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let slot = self.slots.get_mut(&id)?;
        slot.responses = slot.responses.saturating_add(1);
        let state = if slot.responses == 1 { SlotState::IdleAfterFirst } else { SlotState::IdleAfterSeveral };
        self.set_state(id, state, now);
        if self.idle_connections() <= self.max_idle {
            return None;
        }
        let mut idle = self.idle_after_first.iter().chain(&self.idle_after_several);
        let surplus = idle.find(|entry| entry.id != id && !request_arriving(entry.id))?.id;
        self.closing(surplus, now);
        Some(surplus)
    }

    /// The connection is being closed.
    pub fn closing(&mut self, id: ConnectionId, now: Duration) {
        self.set_state(id, SlotState::Closing, now);
    }

    /// The connection is closed and its slot free.
    pub fn closed(&mut self, id: ConnectionId) {
        if let Some(slot) = self.slots.remove(&id)
            && let Some(queue) = self.queue(slot.state)
        {
            queue.remove(&QueueEntry { since: slot.since, id });
        }
    }

    /// Removes the connection to close when all slots are taken; none if all have a request open.
    /// `request_arriving` tells whether some of a connection's next request has been received, and `has_unread`
    /// (which costs more, and is asked of few) whether bytes have been received that nobody has read yet.
    pub fn evict(
        &mut self,
        now: Duration,
        request_arriving: impl Fn(ConnectionId) -> bool,
        has_unread: impl Fn(ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let mut spared = HashSet::new();
        loop {
            let candidate = self.eviction_candidate(now, &request_arriving, &spared)?;
            if self.slots[&candidate].state == SlotState::Closing || !has_unread(candidate) {
                self.closed(candidate);
                return Some(candidate);
            }
            spared.insert(candidate);
        }
    }

    fn idle_connections(&self) -> usize {
        self.idle_after_first.len() + self.idle_after_several.len()
    }

    fn set_state(&mut self, id: ConnectionId, state: SlotState, now: Duration) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let previous_state = std::mem::replace(&mut slot.state, state);
        let previous_since = std::mem::replace(&mut slot.since, now);
        if let Some(queue) = self.queue(previous_state) {
            queue.remove(&QueueEntry { since: previous_since, id });
        }
        if let Some(queue) = self.queue(state) {
            queue.insert(QueueEntry { since: now, id });
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
