//! A TCP proxy on loopback that can delay, lose, cut off and slow down the bytes that it forwards.

mod forward;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::listen;
use crate::scenario::LinkFault;

/// Faults of a proxy; the default is no fault. The client is the peer that connects to the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Delay of all bytes, in each direction.
    pub delay: Duration,
    /// Bytes to the client are lost without an error.
    pub lose_responses: bool,
    /// Bytes in both directions are lost without an error. New connections are still accepted.
    pub black_hole: bool,
    /// Number of bytes to the server after which the connections to client and server are reset.
    pub cut_after: Option<u64>,
    /// Number of bytes to the server after which that direction is shut down; the other direction stays open.
    pub half_close_after: Option<u64>,
    /// Pause after each byte, in both directions; bytes are written one at a time.
    pub trickle: Option<Duration>,
}

impl From<LinkFault> for Fault {
    fn from(fault: LinkFault) -> Self {
        let none = Self::default();
        match fault {
            LinkFault::Delay { ms } => Self { delay: ms.duration(), ..none },
            LinkFault::LoseResponses => Self { lose_responses: true, ..none },
            LinkFault::BlackHole => Self { black_hole: true, ..none },
            LinkFault::CutAfter { bytes } => Self { cut_after: Some(bytes.into()), ..none },
            LinkFault::HalfCloseAfter { bytes } => Self { half_close_after: Some(bytes.into()), ..none },
            LinkFault::Trickle { pause_ms } => Self { trickle: Some(pause_ms.duration()), ..none },
            LinkFault::Reset => none,
        }
    }
}

/// A proxy that runs until this value is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
    /// Number of calls of [`FaultProxy::reset`]; each change resets all open connections.
    resets: watch::Sender<u64>,
    _tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Starts a proxy to a server without faults.
    ///
    /// # Errors
    ///
    /// An error of the sockets.
    ///
    /// ```
    /// # use rudderspindle_testkit::fault_proxy::{Fault, FaultProxy};
    /// # #[tokio::main(flavor = "current_thread")] async fn main() -> std::io::Result<()> {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let proxy = FaultProxy::start(listener.local_addr()?).await?;
    /// // Connections to proxy.addr() reach the listener, with a delay of 50 ms each way.
    /// proxy.set(Fault { delay: std::time::Duration::from_millis(50), ..Fault::default() });
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let fault = watch::channel(Fault::default()).0;
        let resets = watch::channel(0).0;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, server, fault.clone(), resets.clone()));
        Ok(Self { addr, fault, resets, _tasks: tasks })
    }

    /// The address at which clients connect to the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the faults from now on, also for open connections.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Resets all open connections, to clients and to the server.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Accepts connections until the task is cancelled, which cancels the connections' tasks too.
async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    fault: watch::Sender<Fault>,
    resets: watch::Sender<u64>,
) {
    let mut connection_tasks = JoinSet::new();
    loop {
        let stream = listen::next(&listener, &mut connection_tasks).await;
        connection_tasks.spawn(forward::forward_connection(
            stream,
            server,
            fault.subscribe(),
            resets.subscribe(),
        ));
    }
}
