//! The task of one connection: connects, then drives the connection and sends keep-alive PINGs until it ends.

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

/// Concurrent streams that are opened at most until the SETTINGS of the gateway arrive; the gateway refuses streams
/// beyond its own limit.
const INITIAL_MAX_STREAMS: usize = 100;
/// Maximum size of the header list of a response, in bytes.
const MAX_HEADER_LIST_SIZE: u32 = 16 * 1024;
/// Flow-control window for the response bodies of a connection, in bytes; the client never reads them.
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
    /// Opening the transport and the HTTP/2 handshake together took longer than the connect timeout.
    #[error("the connection was not established within the connect timeout")]
    Timeout,
}

/// A connection that was just established.
struct Established<Transport> {
    sender: SendRequest<Bytes>,
    connection: Connection<ReceiveMonitor<Transport>, Bytes>,
    /// Flag that is set when bytes arrive and cleared when it is read.
    data_received: Rc<Cell<bool>>,
}

impl<Connect, Connecting, Transport> Endpoint<Connect>
where
    Connect: Fn() -> Connecting + 'static,
    Connecting: Future<Output = io::Result<Transport>>,
    Transport: AsyncRead + AsyncWrite + Unpin + 'static,
{
    /// Opens a connection and drives it until it ends.
    pub(super) async fn run_connection(self: Rc<Self>) {
        // The calls do not need the cause of the failure: no stream was opened.
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
            data_received: established.data_received,
        };
        // `run` consumes the driver: dropping the connection ends the streams that are still active.
        driver.run().await;
        self.connections.remove(id);
    }

    /// Opens the transport and performs the HTTP/2 handshake, within the connect timeout.
    async fn establish(&self) -> Result<Established<Transport>, ConnectError> {
        timeout(self.connect_timeout, self.handshake()).await.map_err(|_| ConnectError::Timeout)?
    }

    async fn handshake(&self) -> Result<Established<Transport>, ConnectError> {
        let data_received = Rc::new(Cell::new(false));
        let transport = ReceiveMonitor::new((self.connect)().await?, data_received.clone());
        let (sender, connection) = Builder::new()
            .enable_push(false)
            .initial_max_send_streams(INITIAL_MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_LIST_SIZE)
            .initial_window_size(RECEIVE_WINDOW_SIZE)
            .initial_connection_window_size(RECEIVE_WINDOW_SIZE)
            .handshake(transport)
            .await?;
        Ok(Established { sender, connection, data_received })
    }
}

/// Drives one established connection.
struct ConnectionDriver<'a, Transport> {
    connections: &'a Connections,
    id: ConnectionId,
    handle: &'a ConnectionHandle,
    connection: Connection<ReceiveMonitor<Transport>, Bytes>,
    /// Flag that is set when bytes arrive and cleared when it is read.
    data_received: Rc<Cell<bool>>,
}

impl<Transport: AsyncRead + AsyncWrite + Unpin> ConnectionDriver<'_, Transport> {
    /// Runs until the connection has ended, or until the pool aborts or closes it.
    async fn run(mut self) {
        let Some(mut ping_pong) = self.connection.ping_pong() else { return };
        loop {
            match self.connections.poll_action(self.id, self.data_received.take()) {
                ConnectionAction::WaitUntil(time) => {
                    let deadline = self.connections.instant(time);
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
        let connection_event = poll_fn(|context| match Pin::new(&mut self.connection).poll(context) {
            Poll::Ready(_) => Poll::Ready(ControlFlow::Break(())),
            Poll::Pending if self.data_received.get() => Poll::Ready(ControlFlow::Continue(())),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            flow = connection_event => flow,
            () = self.handle.wake.notified() => ControlFlow::Continue(()),
            () = sleep_until(deadline) => ControlFlow::Continue(()),
        }
    }
}

/// Queues a PING. If that fails, the keep-alive timeout aborts the connection.
async fn send_ping(ping_pong: &mut PingPong) {
    // h2 accepts another PING only after the answer to the previous one was consumed.
    poll_fn(|context| Poll::Ready(ping_pong.poll_pong(context).is_ready())).await;
    let _ = ping_pong.send_ping(Ping::opaque());
}
