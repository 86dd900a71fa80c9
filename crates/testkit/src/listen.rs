//! Accepts connections and removes the tasks of connections that have ended.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts the next connection. Meanwhile removes the tasks that have ended from `connection_tasks`, which would grow
/// without bound otherwise.
pub(crate) async fn next(listener: &TcpListener, connection_tasks: &mut JoinSet<()>) -> TcpStream {
    loop {
        tokio::select! {
            Some(_) = connection_tasks.join_next(), if !connection_tasks.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return stream,
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
}
