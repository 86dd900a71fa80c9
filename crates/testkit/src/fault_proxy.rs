//! A TCP proxy on loopback that delays, loses, cuts and trickles what it carries.

mod carry;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::listen;
use crate::scenario::LinkFault;

/// Faults of a proxy; the default is none. The client is the peer that connects to the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Delay of everything, each way.
    pub delay: Duration,
    /// Nothing more reaches the client, without an error.
    pub lose_responses: bool,
    /// Nothing more passes either way, without an error. New connections are accepted.
    pub black_hole: bool,
    /// Number of bytes to the server after which both ends are reset.
    pub cut_after: Option<u64>,
    /// Number of bytes to the server after which that direction ends; the other one stays open.
    pub half_close_after: Option<u64>,
    /// One byte at a time, with this pause, each way.
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

/// A proxy that runs until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
    /// Counts the resets of all open connections.
    resets: watch::Sender<u64>,
    _tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Starts a proxy to a server, without faults.
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

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the faults from now on, also of open connections.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Resets both ends of all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// Accepts connections until it is cancelled, and their tasks with it.
async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    fault: watch::Sender<Fault>,
    resets: watch::Sender<u64>,
) {
    let mut open = JoinSet::new();
    loop {
        let stream = listen::next(&listener, &mut open).await;
        open.spawn(carry::carry(stream, server, fault.subscribe(), resets.subscribe()));
    }
}
