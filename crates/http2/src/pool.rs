//! Assigns calls to the connections of one endpoint and decides when a connection is opened, probed with a PING or
//! closed.
//!
//! The pool is a state machine without I/O and without a clock: the caller reports events with their time, and polls
//! for the next actions.

mod connection;
mod limits;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use connection::ConnectionState;

pub use connection::ConnectionAction;
pub use limits::PoolLimits;

/// Milliseconds since an epoch that the caller chooses.
pub type Millis = u64;

/// Identifies a connection within its [`ConnectionPool`]; identifiers ascend from 0 and are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenReason {
    /// The pool has no connection.
    NoConnection,
    /// All stream slots of the existing connections are in use.
    SlotsExhausted,
    /// All existing connections are draining after a GOAWAY.
    Draining,
}

/// The connection on which a call is placed, or what must happen before it can be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The call is placed on this connection.
    Existing(ConnectionId),
    /// A connection must be opened first.
    Open(OpenReason),
    /// A stream must finish, or a connection that is being opened must be established first.
    Wait,
}

/// The connections of one endpoint, and their stream slots.
#[derive(Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    next_id: u64,
    /// Whether a connection is being opened; at most one is opened at a time.
    connecting: bool,
    connections: BTreeMap<ConnectionId, ConnectionState>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: PoolLimits) -> Self {
        Self { limits, next_id: 0, connecting: false, connections: BTreeMap::new() }
    }

    /// Decides where a call is placed.
    ///
    /// Prefers the connection with the most active streams that still has a slot, so that the others become idle and
    /// are closed.
    pub fn place_call(&self) -> Placement {
        let with_slots =
            self.connections.iter().filter(|(_, connection)| connection.available_slots(&self.limits) > 0);
        let busiest = with_slots.max_by_key(|(id, connection)| (connection.active_streams(), Reverse(**id)));
        match busiest {
            Some((&id, _)) => Placement::Existing(id),
            None => self.place_without_slots(),
        }
    }

    /// Decides what must happen before a call can be placed if no connection has a free slot.
    fn place_without_slots(&self) -> Placement {
        if self.connecting || self.connections.len() >= self.limits.max_connections.max(1) {
            return Placement::Wait;
        }
        if self.connections.is_empty() {
            return Placement::Open(OpenReason::NoConnection);
        }
        let accepting: Vec<_> =
            self.connections.values().filter(|connection| !connection.is_draining()).collect();
        if accepting.is_empty() {
            return Placement::Open(OpenReason::Draining);
        }
        // A gateway that sets the limit to zero suspends all streams; further connections must not circumvent that.
        if accepting.iter().any(|connection| connection.max_streams() == 0) {
            return Placement::Wait;
        }
        Placement::Open(OpenReason::SlotsExhausted)
    }

    /// Number of calls that can start now, or as soon as a connection that may be opened is established.
    pub fn available_slots(&self) -> usize {
        match self.place_call() {
            Placement::Open(_) => self.limits.max_streams_per_connection,
            Placement::Wait if self.connecting => self.limits.max_streams_per_connection,
            Placement::Existing(_) | Placement::Wait => {
                self.connections.values().map(|connection| connection.available_slots(&self.limits)).sum()
            }
        }
    }

    /// Records that a connection is being opened.
    pub fn connect_started(&mut self) {
        self.connecting = true;
    }

    /// Records that the connection was established.
    ///
    /// `max_streams` is the number of concurrent streams that the gateway allows, or an assumption until it is known.
    pub fn connect_succeeded(&mut self, now: Millis, max_streams: usize) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connecting = false;
        self.connections.insert(id, ConnectionState::new(now, max_streams));
        id
    }

    /// Records that the connection was not established.
    pub fn connect_failed(&mut self) {
        self.connecting = false;
    }

    /// Records that the gateway allows `max_streams` concurrent streams from now on.
    ///
    /// Active streams above the limit continue, unless the gateway resets them.
    pub fn set_max_streams(&mut self, id: ConnectionId, max_streams: usize) {
        self.update(id, |connection| connection.set_max_streams(max_streams));
    }

    /// Records that a call started on the connection.
    pub fn stream_started(&mut self, id: ConnectionId, now: Millis) {
        self.update(id, |connection| connection.stream_started(now));
    }

    /// Records that a call on the connection ended.
    pub fn stream_finished(&mut self, id: ConnectionId, now: Millis) {
        self.update(id, |connection| connection.stream_finished(now));
    }

    /// Records that bytes arrived on the connection.
    pub fn data_received(&mut self, id: ConnectionId, now: Millis) {
        self.update(id, |connection| connection.data_received(now));
    }

    /// Records that the gateway accepts no further streams on the connection.
    pub fn start_draining(&mut self, id: ConnectionId) {
        self.update(id, ConnectionState::start_draining);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the next action for the connection; [`ConnectionAction::Close`] if the pool does not contain it.
    ///
    /// A PING counts as sent as soon as [`ConnectionAction::SendPing`] is returned.
    pub fn poll_action(&mut self, id: ConnectionId, now: Millis) -> ConnectionAction {
        match self.connections.get_mut(&id) {
            Some(connection) => connection.poll_action(&self.limits, now),
            None => ConnectionAction::Close,
        }
    }

    /// Applies an event to a connection, unless it has been removed.
    fn update(&mut self, id: ConnectionId, event: impl FnOnce(&mut ConnectionState)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            event(connection);
        }
    }
}
