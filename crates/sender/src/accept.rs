//! Accepts connections, also across times in which the process has no descriptors left.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Pause after a connection could not be accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Failures with no longer pause between them are one outage, which is logged once.
const OUTAGE_GAP: Duration = Duration::from_secs(5);
/// The system has no descriptor left.
const ENFILE: i32 = 23;
/// The process has no descriptor left.
const EMFILE: i32 = 24;

/// A listener, and when it last failed.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    peers: &'static str,
    last_failure: Option<Instant>,
}

impl Acceptor {
    /// Accepts from `listener`; `peers` names those who connect in the log.
    pub(crate) fn new(listener: TcpListener, peers: &'static str) -> Self {
        Self { listener, peers, last_failure: None }
    }

    /// The next connection. Without a descriptor for it, `free_descriptor` is called to close another one.
    pub(crate) async fn accept(&mut self, free_descriptor: impl Fn()) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    // Responses are small, and each must be sent before its connection may be closed. Where it cannot
                    // be set, connections work without.
                    let _ = stream.set_nodelay(true);
                    return (stream, peer);
                }
                Err(error) => {
                    self.log_failure(&error);
                    if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) {
                        free_descriptor();
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn log_failure(&mut self, error: &io::Error) {
        let now = Instant::now();
        let previous = self.last_failure.replace(now);
        if previous.is_none_or(|previous| now - previous > OUTAGE_GAP) {
            tracing::warn!("{}: a connection could not be accepted: {error}", self.peers);
        }
    }
}
