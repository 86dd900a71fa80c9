//! HTTP connections to the platform, for discovery and notifications.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::write_progress::MAX_BUFFER;

/// Why a request to the platform failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// A timeout of the request or of its response expired.
    #[error("no answer in time")]
    TimedOut,
    /// The connection could not be opened.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed, or the response is not HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
}

/// The task that reads and writes a connection. Dropping it cancels the task and closes the connection.
pub(crate) type Driver = JoinSet<hyper::Result<()>>;

/// A connection to the platform.
#[derive(Debug)]
pub(crate) struct Connection<B> {
    /// Sends requests on the connection.
    pub(crate) sender: SendRequest<B>,
    /// Must be held as long as the connection is in use, because dropping the driver closes the connection.
    pub(crate) driver: Driver,
}

/// Opens a connection to the platform.
///
/// # Errors
///
/// [`HttpError`] if the connection is refused or fails.
pub(crate) async fn connect<B>(addr: SocketAddr) -> Result<Connection<B>, HttpError>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = TokioIo::new(stream);
    let (sender, connection) = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await?;
    let mut driver = Driver::new();
    driver.spawn_local(connection);
    Ok(Connection { sender, driver })
}
