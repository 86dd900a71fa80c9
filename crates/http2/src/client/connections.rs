//! The connections of an endpoint: their `h2` handles and the [`ConnectionPool`], which are updated together.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::pool::{ConnectionAction, ConnectionId, ConnectionPool, Millis, Placement, PoolLimits};

/// The handle through which calls use a connection.
#[derive(Clone)]
pub(super) struct ConnectionHandle {
    /// Opens streams.
    pub(super) sender: SendRequest<Bytes>,
    /// Set when the gateway did not answer a PING in time.
    pub(super) ping_timed_out: Rc<Cell<bool>>,
    /// Notifies the task of the connection that it must poll the pool again.
    pub(super) wake: Rc<Notify>,
}

impl ConnectionHandle {
    pub(super) fn new(sender: SendRequest<Bytes>) -> Self {
        Self { sender, ping_timed_out: Rc::default(), wake: Rc::default() }
    }
}

/// The connections of an endpoint, shared by its calls and its connection tasks.
pub(super) struct Connections {
    /// Instant at which the pool's clock is 0.
    epoch: Instant,
    pool: RefCell<ConnectionPool>,
    handles: RefCell<BTreeMap<ConnectionId, ConnectionHandle>>,
    /// Number of connection attempts that have failed since the endpoint was created.
    failed_connects: Cell<u64>,
    /// Notifies the waiting calls that a stream slot may be free, or that connecting failed.
    pub(super) slots_changed: Notify,
}

impl Connections {
    pub(super) fn new(limits: PoolLimits) -> Self {
        Self {
            epoch: Instant::now(),
            pool: RefCell::new(ConnectionPool::new(limits)),
            handles: RefCell::default(),
            failed_connects: Cell::new(0),
            slots_changed: Notify::new(),
        }
    }

    /// The current time on the pool's clock.
    fn now(&self) -> Millis {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant at which the pool's clock is `time`.
    pub(super) fn instant(&self, time: Millis) -> Instant {
        self.epoch + Duration::from_millis(time)
    }

    /// Copies the state of each `h2` connection into the pool: the stream limit, and whether the connection is
    /// draining.
    pub(super) fn refresh(&self) {
        let mut context = Context::from_waker(Waker::noop());
        let mut pool = self.pool.borrow_mut();
        for (&id, handle) in self.handles.borrow_mut().iter_mut() {
            pool.set_max_streams(id, handle.sender.current_max_send_streams());
            if let Poll::Ready(Err(_)) = handle.sender.poll_ready(&mut context) {
                pool.start_draining(id);
            }
        }
    }

    /// See [`ConnectionPool::available_slots`].
    pub(super) fn available_slots(&self) -> usize {
        self.pool.borrow().available_slots()
    }

    /// See [`ConnectionPool::place_call`].
    pub(super) fn place_call(&self) -> Placement {
        self.pool.borrow().place_call()
    }

    /// The handle of a connection; `None` once the connection has ended.
    pub(super) fn handle(&self, id: ConnectionId) -> Option<ConnectionHandle> {
        self.handles.borrow().get(&id).cloned()
    }

    /// Number of connection attempts that have failed since the endpoint was created.
    pub(super) fn failed_connects(&self) -> u64 {
        self.failed_connects.get()
    }

    /// Records that a connection is being opened.
    pub(super) fn connect_started(&self) {
        self.pool.borrow_mut().connect_started();
    }

    /// Records that the connection could not be established.
    pub(super) fn connect_failed(&self) {
        self.pool.borrow_mut().connect_failed();
        self.failed_connects.set(self.failed_connects.get() + 1);
        self.slots_changed.notify_waiters();
    }

    /// Adds a connection that was just established.
    pub(super) fn insert(&self, handle: ConnectionHandle) -> ConnectionId {
        let max_streams = handle.sender.current_max_send_streams();
        let id = self.pool.borrow_mut().connect_succeeded(self.now(), max_streams);
        self.handles.borrow_mut().insert(id, handle);
        self.slots_changed.notify_waiters();
        id
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.handles.borrow_mut().remove(&id);
        self.pool.borrow_mut().remove(id);
        self.slots_changed.notify_waiters();
    }

    /// Records that the gateway accepts no further streams on the connection.
    pub(super) fn start_draining(&self, id: ConnectionId) {
        self.pool.borrow_mut().start_draining(id);
    }

    /// Updates the pool and returns the next action for the connection.
    ///
    /// `data_received` is whether bytes have arrived on the connection since the previous call.
    pub(super) fn poll_action(&self, id: ConnectionId, data_received: bool) -> ConnectionAction {
        let now = self.now();
        if data_received {
            self.pool.borrow_mut().data_received(id, now);
        }
        self.refresh();
        self.slots_changed.notify_waiters();
        self.pool.borrow_mut().poll_action(id, now)
    }

    /// Occupies a stream slot of the connection for a call.
    pub(super) fn start_stream(&self, id: ConnectionId, handle: &ConnectionHandle) -> ActiveStream<'_> {
        self.pool.borrow_mut().stream_started(id, self.now());
        handle.wake.notify_one();
        ActiveStream { connections: self, id, wake: handle.wake.clone() }
    }
}

/// A stream slot in use; dropping it frees the slot.
pub(super) struct ActiveStream<'a> {
    connections: &'a Connections,
    id: ConnectionId,
    wake: Rc<Notify>,
}

impl Drop for ActiveStream<'_> {
    fn drop(&mut self) {
        let now = self.connections.now();
        self.connections.pool.borrow_mut().stream_finished(self.id, now);
        self.connections.slots_changed.notify_waiters();
        self.wake.notify_one();
    }
}
