//! Accepts connections, and reaps the tasks of those that have ended.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause after an error of accepting.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection, and meanwhile reaps the tasks in `open` that have ended.
pub(crate) async fn next(listener: &TcpListener, open: &mut JoinSet<()>) -> TcpStream {
    loop {
        tokio::select! {
            Some(_) = open.join_next(), if !open.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(ERROR_PAUSE).await,
            },
        }
    }
}
