//! Opens connections to receivers, and closes them so that an interrupted call is not executed later.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use rudderspindle_policy::interface::Outcome;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

use super::Outbound;
use super::outcome::Interruption;
use crate::write_progress::{MAX_BUFFER, TrackedStream, WriteProgress};

/// How long a connection must have been idle before the next request is written to it, on a path without delay. A
/// receiver may write a second copy of a response behind it. A copy that arrives after the next request is written cannot
/// be told from the response to that request; one that arrives before closes the connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(25);
/// Maximum time that is added to [`MIN_IDLE_TIME`] for the delay of the path, so that receivers with long response times
/// do not need many more connections.
const MAX_DELAY_VARIATION: Duration = Duration::from_millis(125);
/// Minimum TCP user timeout that is set, because the system interprets 0 as its default.
const MIN_USER_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection to a receiver. Dropping the value closes the connection, with a reset unless it is idle.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) write_progress: Rc<WriteProgress>,
    /// The socket; `task` owns it.
    pub(super) socket: Weak<RefCell<TcpStream>>,
    addr: SocketAddr,
    /// The task that reads and writes the connection. It owns the socket and the connection's slot, and is aborted when
    /// the connection is dropped.
    task: JoinHandle<()>,
    idle_since: Instant,
    is_idle: bool,
    /// The shortest response time so far; an upper bound of the round-trip time. `None` before the first response.
    min_response_time: Option<Duration>,
    /// The outcome of the last response, unless it was a success. The same outcome of the next response may come from a
    /// copy of the last one.
    unsuccessful_outcome: Option<Outcome>,
    /// Whether the system's timeout for unacknowledged bytes is set.
    has_user_timeout: bool,
}

impl Connection {
    async fn open(addr: SocketAddr, slot: OwnedSemaphorePermit) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        // When a connection with a call in flight is closed, also by the exit of this process, the system must discard
        // the unsent bytes: otherwise the call could be executed after it was interrupted.
        let _ = stream.set_zero_linger();
        let write_progress = Rc::new(WriteProgress::tracking_responses());
        let stream = Rc::new(RefCell::new(stream));
        let socket = Rc::downgrade(&stream);
        let tracked = TrackedStream::new(stream, write_progress.clone());
        let (sender, http) = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(tracked).await.ok()?;
        let task = spawn_local(async move {
            let _slot = slot;
            // The error is ignored because the request in flight also receives and reports it.
            let _ = http.await;
        });
        Some(Self {
            sender,
            write_progress,
            socket,
            addr,
            task,
            idle_since: Instant::now(),
            is_idle: false,
            min_response_time: None,
            unsuccessful_outcome: None,
            has_user_timeout: false,
        })
    }

    /// Address of the receiver.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// When the connection became idle; if it has never been idle, when it was opened.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Marks the connection as idle, so that dropping it sends no reset.
    pub(super) fn mark_idle(&mut self) {
        self.acknowledge_received();
        let response_time = self.write_progress.response_time();
        self.min_response_time = self.min_response_time.into_iter().chain(response_time).min();
        self.is_idle = true;
        self.idle_since = Instant::now();
    }

    /// Makes the system acknowledge the received bytes now. A receiver's system may hold back the copy of a response
    /// until the response is acknowledged (Nagle's algorithm). If this system delayed the acknowledgement until the next
    /// request, the copy would arrive after that request.
    fn acknowledge_received(&self) {
        if let Some(socket) = self.socket.upgrade() {
            let _ = SockRef::from(&*socket.borrow()).set_tcp_quickack(true);
        }
    }

    /// Marks the connection as in use, so that dropping it sends a reset.
    pub(super) fn mark_in_use(&mut self) {
        self.is_idle = false;
    }

    /// Records the outcome of a response. Returns whether the response may be a copy of the one before, which then is not a
    /// response to the current request.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) -> bool {
        let may_be_copy = self.unsuccessful_outcome == Some(outcome);
        self.unsuccessful_outcome = (outcome != Outcome::Ok).then_some(outcome);
        may_be_copy
    }

    /// Whether a request that must not be executed twice may be sent over the connection: only if the last response was a
    /// success, because a copy of any other response would make the request appear not executed.
    pub(super) fn is_safe_for_unrepeatable_calls(&self) -> bool {
        self.unsuccessful_outcome.is_none()
    }

    /// When the next request may be written to the connection, which must be idle.
    pub(super) fn usable_at(&self) -> Instant {
        self.idle_since + MIN_IDLE_TIME + self.delay_variation()
    }

    /// By how much longer a copy may take on its way than the response before it: at most the delay of one direction,
    /// which is half of the round-trip time.
    fn delay_variation(&self) -> Duration {
        let round_trip_time = self.min_response_time.unwrap_or_default();
        (round_trip_time / 2).min(MAX_DELAY_VARIATION)
    }

    /// Whether the connection is open and has been idle for less than `max_idle_time`.
    pub(super) fn is_reusable(&self, now: Instant, max_idle_time: Duration) -> bool {
        !self.sender.is_closed() && now - self.idle_since < max_idle_time
    }

    /// Limits how long the system retransmits unacknowledged bytes, or buffers bytes that the receiver does not accept;
    /// `None` restores the system's default. If the limit cannot be set, only the request's deadlines apply.
    pub(super) fn limit_unacknowledged(&mut self, limit: Option<Duration>) {
        if !self.has_user_timeout && limit.is_none() {
            return;
        }
        let Some(socket) = self.socket.upgrade() else { return };
        self.has_user_timeout = limit.is_some();
        let limit = limit.map(|limit| limit.max(MIN_USER_TIMEOUT));
        let _ = SockRef::from(&*socket.borrow()).set_tcp_user_timeout(limit);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_idle
            && let Some(socket) = self.socket.upgrade()
        {
            let _ = SockRef::from(&*socket.borrow()).set_linger(None);
        }
        self.task.abort();
    }
}

impl Outbound {
    /// Opens a connection to a receiver, by `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// [`Interruption::Withheld`] if all slots are taken, [`Interruption::ConnectionBroken`] if the connection fails.
    pub(super) async fn connect(
        &self,
        addr: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, Interruption> {
        let slot = self.acquire_slot(deadline).await.ok_or(Interruption::Withheld)?;
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        let opened = timeout_at(deadline, Connection::open(addr, slot)).await;
        opened.ok().flatten().ok_or(Interruption::ConnectionBroken)
    }

    /// Acquires the slot of a new connection. If no slot is free, closes an idle connection to free one. Returns `None`
    /// if no connection is idle, or if the slot is not free by `deadline`.
    async fn acquire_slot(&self, deadline: Instant) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.free_connections.clone().try_acquire_owned() {
            return Some(slot);
        }
        if !self.idle.close_longest_idle() {
            return None;
        }
        // The closed connection's slot becomes free when its task is dropped.
        let freed = timeout_at(deadline, self.free_connections.clone().acquire_owned()).await;
        freed.ok()?.ok()
    }
}
