//! Accepts connections, and retries after failures such as a lack of file descriptors.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Time from a failure to accept a connection to the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// A failure is logged only if the previous failure occurred longer ago than this, so that a series of failures is
/// logged once.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// OS error number: the system's limit of open files is reached.
const ENFILE: i32 = 23;
/// OS error number: the process's limit of open file descriptors is reached.
const EMFILE: i32 = 24;

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    pub(crate) stream: TcpStream,
    /// Address of the remote end.
    pub(crate) peer: SocketAddr,
}

/// A listener whose failures are logged at a limited rate.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    /// Value of the log field `peers`.
    listener_name: &'static str,
    last_failure: Option<Instant>,
}

impl Acceptor {
    /// Creates an acceptor for `listener`; failures are logged with `listener_name` in the field `peers`.
    pub(crate) fn new(listener: TcpListener, listener_name: &'static str) -> Self {
        Self { listener, listener_name, last_failure: None }
    }

    /// Accepts the next connection. If no file descriptor is available, `free_descriptor` is called to close another
    /// connection, and the accept is retried.
    pub(crate) async fn accept(&mut self, free_descriptor: impl Fn()) -> AcceptedConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    // Responses are small and must not be delayed until more data is written. A failure is ignored
                    // because the connection also works without the option.
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
            tracing::warn!(peers = self.listener_name, %error, "connection could not be accepted");
        }
    }
}
