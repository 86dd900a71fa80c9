//! Taking connections in, and letting go of the tasks of those that have ended.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(20);

/// The next connection; tasks in `open` that have ended are let go meanwhile.
pub(crate) async fn next(listener: &TcpListener, open: &mut JoinSet<()>) -> TcpStream {
    loop {
        tokio::select! {
            Some(_) = open.join_next(), if !open.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(PAUSE).await,
            },
        }
    }
}
