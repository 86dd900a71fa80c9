//! Asynchronous client for one endpoint of a push gateway: sends the calls that [`crate::pool`] places over `h2`.
//!
//! Single-threaded: every type here belongs to the tasks of one [`tokio::task::LocalSet`].

mod connection_task;
mod connections;
mod exchange;
mod receive_monitor;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use crate::outcome::StreamOutcome;
use crate::pool::{ConnectionId, Placement, PoolLimits};
use connections::Connections;
use exchange::Exchange;

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// How the stream of the call ended.
    pub stream: StreamOutcome,
    /// Whether the last byte of the request was handed to the connection.
    pub request_complete: bool,
}

impl CallOutcome {
    /// Outcome of a call without a stream.
    const NOT_OPENED: Self = Self { stream: StreamOutcome::NotOpened, request_complete: false };
}

/// Deadlines of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallDeadlines {
    /// Deadline of the response: the client stops waiting for it then.
    pub response: Instant,
    /// Deadline of the last byte of the request: a request that is incomplete by then is never completed.
    pub request: Instant,
}

impl CallDeadlines {
    /// The earlier of the two deadlines, at which the client stops sending.
    fn earlier(&self) -> Instant {
        self.response.min(self.request)
    }
}

/// One endpoint of a push gateway and the connections to it; `Connect` opens the transport of a connection.
pub struct Endpoint<Connect> {
    connect: Connect,
    connect_timeout: Duration,
    connections: Connections,
}

impl<Connect, Connecting, Transport> Endpoint<Connect>
where
    Connect: Fn() -> Connecting + 'static,
    Connecting: Future<Output = io::Result<Transport>>,
    Transport: AsyncRead + AsyncWrite + Unpin + 'static,
{
    /// Creates an endpoint without connections; `connect` opens the transport of each connection.
    pub fn new(limits: PoolLimits, connect: Connect) -> Rc<Self> {
        Rc::new(Self {
            connect,
            connect_timeout: Duration::from_millis(limits.connect_timeout),
            connections: Connections::new(limits),
        })
    }

    /// Number of calls that can start now, or as soon as a connection that may be opened is established.
    pub fn available_slots(&self) -> usize {
        self.connections.refresh();
        self.connections.available_slots()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Waits for a stream slot first, and opens a connection if the pool allows one. Dropping the future resets the
    /// stream of this call and no other.
    ///
    /// # Panics
    ///
    /// If called outside a [`tokio::task::LocalSet`], because the task of a connection may have to be spawned.
    pub async fn call(
        self: &Rc<Self>,
        request: Request<()>,
        body: Bytes,
        deadlines: CallDeadlines,
    ) -> CallOutcome {
        let Some(id) = self.acquire_connection(deadlines.earlier()).await else {
            return CallOutcome::NOT_OPENED;
        };
        let Some(handle) = self.connections.handle(id) else {
            return CallOutcome::NOT_OPENED;
        };
        let _active_stream = self.connections.start_stream(id, &handle);
        let mut exchange = Exchange::new(deadlines);
        let stream = match exchange.run(handle.sender, request, body).await {
            Ok(outcome) => outcome,
            Err(error) => self.outcome_of_error(id, &error, handle.ping_timed_out.get()),
        };
        CallOutcome { stream, request_complete: exchange.request_complete() }
    }

    /// Waits for a connection with a free stream slot.
    ///
    /// Returns `None` if `deadline` passes first, or if the endpoint fails to open a connection meanwhile.
    async fn acquire_connection(self: &Rc<Self>, deadline: Instant) -> Option<ConnectionId> {
        let failed_connects = self.connections.failed_connects();
        loop {
            // The notification is registered before the pool is read, so that no change in between is missed.
            let slots_changed = self.connections.slots_changed.notified();
            self.connections.refresh();
            match self.connections.place_call() {
                Placement::Existing(id) => return Some(id),
                Placement::Open(_) => self.spawn_connection(),
                Placement::Wait => {}
            }
            timeout_at(deadline, slots_changed).await.ok()?;
            if self.connections.failed_connects() != failed_connects {
                return None;
            }
        }
    }

    /// Starts the task that opens a connection and drives it.
    ///
    /// The task is detached and keeps the endpoint alive. The task ends when connecting fails, when the connection is
    /// lost, or when the pool closes or aborts the connection. The task is cancelled with its `LocalSet`.
    fn spawn_connection(self: &Rc<Self>) {
        self.connections.connect_started();
        let endpoint = self.clone();
        spawn_local(async move { endpoint.run_connection().await });
    }

    /// The outcome of a stream whose exchange failed.
    fn outcome_of_error(&self, id: ConnectionId, error: &h2::Error, ping_timed_out: bool) -> StreamOutcome {
        // h2 fails a stream with the GOAWAY of the gateway only if the identifier of the stream is above the last one
        // of the GOAWAY, or if the stream was opened after the GOAWAY.
        if error.is_go_away() && error.is_remote() {
            self.connections.start_draining(id);
            return StreamOutcome::GoAway;
        }
        if error.is_reset() && error.is_remote() {
            return StreamOutcome::Reset { error_code: error.reason().map_or(0, u32::from) };
        }
        if ping_timed_out { StreamOutcome::PingTimeout } else { StreamOutcome::ConnectionLost }
    }
}
