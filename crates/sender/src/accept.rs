//! Taking connections in, as long as there are descriptors and again as soon as there are.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(20);
/// Failures with no longer pause between them are one trouble, and one line in the log.
const ONE_TROUBLE: Duration = Duration::from_secs(5);
/// The process, or the system, has no descriptor left.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// A listener, and what was last wrong with it.
#[derive(Debug)]
pub(crate) struct Acceptor {
    listener: TcpListener,
    who: &'static str,
    failed: Option<Instant>,
}

impl Acceptor {
    /// For connections of `who`, as the log names them.
    pub(crate) fn new(listener: TcpListener, who: &'static str) -> Self {
        Self { listener, who, failed: None }
    }

    /// The next connection. Without a descriptor for it, `make_room` is asked to free one.
    pub(crate) async fn next(&mut self, make_room: impl Fn()) -> (TcpStream, SocketAddr) {
        loop {
            let error = match self.listener.accept().await {
                Ok((stream, peer)) => {
                    // Answers are small, and each must be out before its connection may be closed. It works without.
                    let _ = stream.set_nodelay(true);
                    return (stream, peer);
                }
                Err(error) => error,
            };
            let now = Instant::now();
            if self.failed.replace(now).is_none_or(|last| now - last > ONE_TROUBLE) {
                tracing::warn!("{}: a connection could not be accepted: {error}", self.who);
            }
            if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) {
                make_room();
            }
            sleep(PAUSE).await;
        }
    }
}
