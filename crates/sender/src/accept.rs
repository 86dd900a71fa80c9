//! Accepts connections, and continues after failures such as a lack of descriptors.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Delay before the next attempt to accept a connection after one has failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Of failures that follow each other within this time only the first is logged.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Error number: the system has no descriptor left.
const ENFILE: i32 = 23;
/// Error number: the process has no descriptor left.
const EMFILE: i32 = 24;

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    pub(crate) stream: TcpStream,
    /// The peer's address.
    pub(crate) peer: SocketAddr,
}

/// A listener, and when it last failed.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    peers: &'static str,
    last_failure: Option<Instant>,
}

impl Acceptor {
    /// Accepts from `listener`; the log names those that connect as `peers`.
    pub(crate) fn new(listener: TcpListener, peers: &'static str) -> Self {
        Self { listener, peers, last_failure: None }
    }

    /// Accepts the next connection. If no descriptor is left, `free_descriptor` is called to close another connection.
    pub(crate) async fn accept(&mut self, free_descriptor: impl Fn()) -> AcceptedConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    // Responses are small and must not wait for more data. The connection also works without the option.
                    let _ = stream.set_nodelay(true);
                    return AcceptedConnection { stream, peer };
                }
                Err(error) => {
                    self.log_failure(&error);
                    if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) {
                        free_descriptor();
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn log_failure(&mut self, error: &io::Error) {
        let now = Instant::now();
        let previous = self.last_failure.replace(now);
        if previous.is_none_or(|previous| now - previous > FAILURE_LOG_INTERVAL) {
            tracing::warn!(peers = self.peers, %error, "connection could not be accepted");
        }
    }
}
