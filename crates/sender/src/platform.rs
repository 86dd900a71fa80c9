//! Requests to the platform: discovery and notices go over these.

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

/// What can go wrong with a request to the platform.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    #[error("no answer in time")]
    Silent,
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
}

/// Drives a connection to the platform; dropping it closes the connection.
pub(crate) type Driver = JoinSet<hyper::Result<()>>;

/// A connection, and what drives it.
pub(crate) async fn connect<B>(addr: SocketAddr) -> Result<(SendRequest<B>, Driver), HttpError>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = TokioIo::new(stream);
    let (sender, connection) = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await?;
    let mut driver = Driver::new();
    driver.spawn_local(connection);
    Ok((sender, driver))
}
