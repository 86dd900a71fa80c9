//! Readiness probes of a process.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::{sleep, timeout};

/// Maximum time of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a process must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Address and protocol with which a process is probed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Probe {
    /// The HTTP readiness request, at the address for clients.
    Clients(SocketAddr),
    /// The `status` command, at the address of the control listener.
    Control(SocketAddr),
}

/// Result of waiting for a process to become ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Startup {
    Ready,
    Exited,
    TimedOut,
}

impl Probe {
    async fn is_ready(self) -> bool {
        match self {
            Self::Clients(addr) => {
                let request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                responds(addr, request, b"HTTP/1.1 200").await
            }
            Self::Control(addr) => responds(addr, b"status\n", b"done").await,
        }
    }

    /// Waits until a process is ready, has exited or has exceeded [`START_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// If the exit status of the process cannot be read.
    pub(super) async fn wait_until_ready(self, child: &mut Child) -> std::io::Result<Startup> {
        let ready = async {
            loop {
                if child.try_wait()?.is_some() {
                    return Ok::<Startup, std::io::Error>(Startup::Exited);
                }
                if self.is_ready().await {
                    return Ok(Startup::Ready);
                }
                sleep(PROBE_INTERVAL).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.unwrap_or(Ok(Startup::TimedOut))
    }
}

/// Whether the response to a request begins with `expected` and arrives within [`PROBE_TIMEOUT`].
async fn responds<const N: usize>(addr: SocketAddr, request: &[u8], expected: &[u8; N]) -> bool {
    let response = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut head = [0; N];
        stream.read_exact(&mut head).await.ok()?;
        Some(&head == expected)
    };
    timeout(PROBE_TIMEOUT, response).await.ok().flatten().unwrap_or(false)
}
