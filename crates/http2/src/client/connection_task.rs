//! The task of one connection: connects, then drives the connection and its keep-alive until it ends.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use h2::client::{Builder, Connection, SendRequest};
use h2::{Ping, PingPong};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, sleep_until, timeout};

use super::Endpoint;
use super::connections::{ConnectionHandle, Connections};
use super::receive_monitor::ReceiveMonitor;
use crate::pool::{ConnectionAction, ConnectionId};

/// Concurrent streams assumed to be allowed until the SETTINGS of the gateway arrive; it refuses those beyond its limit.
const INITIAL_MAX_STREAMS: usize = 100;
/// Maximum size of the header list of a response, in bytes.
const MAX_HEADER_LIST_SIZE: u32 = 16 * 1024;
/// Flow-control window for the bodies of all responses of a connection, in bytes: they are never read.
const RECEIVE_WINDOW_SIZE: u32 = 64 * 1024;

/// Why a connection was not established.
#[derive(Debug, Error)]
enum ConnectError {
    /// The transport could not be opened.
    #[error("cannot open the transport")]
    Transport(#[from] io::Error),
    /// The HTTP/2 handshake failed.
    #[error("the HTTP/2 handshake failed")]
    Handshake(#[from] h2::Error),
    /// Both together took longer than the connect timeout.
    #[error("the connect timeout passed")]
    Timeout,
}

/// A connection that was just established.
struct Established<Transport> {
    sender: SendRequest<Bytes>,
    connection: Connection<ReceiveMonitor<Transport>, Bytes>,
    /// Set whenever bytes have arrived.
    received: Rc<Cell<bool>>,
}

impl<Connect, Connecting, Transport> Endpoint<Connect>
where
    Connect: Fn() -> Connecting + 'static,
    Connecting: Future<Output = io::Result<Transport>>,
    Transport: AsyncRead + AsyncWrite + Unpin + 'static,
{
    /// Opens a connection and drives it until it ends.
    pub(super) async fn run_connection(self: Rc<Self>) {
        // The cause makes no difference to the calls: no stream was opened.
        let Ok(established) = self.establish().await else {
            self.connections.connect_failed();
            return;
        };
        let handle = ConnectionHandle::new(established.sender);
        let id = self.connections.insert(handle.clone());
        let driver = ConnectionDriver {
            connections: &self.connections,
            id,
            handle: &handle,
            connection: established.connection,
            received: established.received,
        };
        // Consumes the driver: dropping its connection ends the streams that are still active.
        driver.run().await;
        self.connections.remove(id);
    }

    /// Opens the transport and performs the HTTP/2 handshake, within the connect timeout.
    async fn establish(&self) -> Result<Established<Transport>, ConnectError> {
        timeout(self.connect_timeout, self.handshake()).await.map_err(|_| ConnectError::Timeout)?
    }

    async fn handshake(&self) -> Result<Established<Transport>, ConnectError> {
        let received = Rc::new(Cell::new(false));
        let transport = ReceiveMonitor::new((self.connect)().await?, received.clone());
        let (sender, connection) = Builder::new()
            .enable_push(false)
            .initial_max_send_streams(INITIAL_MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_LIST_SIZE)
            .initial_window_size(RECEIVE_WINDOW_SIZE)
            .initial_connection_window_size(RECEIVE_WINDOW_SIZE)
            .handshake(transport)
            .await?;
        Ok(Established { sender, connection, received })
    }
}

/// Drives one established connection.
struct ConnectionDriver<'a, Transport> {
    connections: &'a Connections,
    id: ConnectionId,
    handle: &'a ConnectionHandle,
    connection: Connection<ReceiveMonitor<Transport>, Bytes>,
    /// Set whenever bytes have arrived.
    received: Rc<Cell<bool>>,
}

impl<Transport: AsyncRead + AsyncWrite + Unpin> ConnectionDriver<'_, Transport> {
    /// Runs until the connection has ended, or until the pool has it aborted or closed.
    async fn run(mut self) {
        let Some(mut ping_pong) = self.connection.ping_pong() else { return };
        loop {
            match self.connections.poll_action(self.id, self.received.take()) {
                ConnectionAction::WaitUntil(at) => {
                    let deadline = self.connections.instant(at);
                    if self.wait_for_event(deadline).await.is_break() {
                        return;
                    }
                }
                ConnectionAction::SendPing => send_ping(&mut ping_pong).await,
                ConnectionAction::Abort => {
                    self.handle.ping_timed_out.set(true);
                    return;
                }
                ConnectionAction::Close => return,
            }
        }
    }

    /// Drives the connection until bytes arrive, the handle wakes the task or `deadline` passes; breaks if the
    /// connection has ended.
    async fn wait_for_event(&mut self, deadline: Instant) -> ControlFlow<()> {
        let driven = poll_fn(|context| match Pin::new(&mut self.connection).poll(context) {
            Poll::Ready(_) => Poll::Ready(ControlFlow::Break(())),
            Poll::Pending if self.received.get() => Poll::Ready(ControlFlow::Continue(())),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            flow = driven => flow,
            () = self.handle.wake.notified() => ControlFlow::Continue(()),
            () = sleep_until(deadline) => ControlFlow::Continue(()),
        }
    }
}

/// Queues a PING; one that cannot be queued is left to the keep-alive timeout.
async fn send_ping(ping_pong: &mut PingPong) {
    // h2 takes a further PING only after the answer to the previous one was consumed.
    poll_fn(|context| Poll::Ready(ping_pong.poll_pong(context).is_ready())).await;
    let _ = ping_pong.send_ping(Ping::opaque());
}
