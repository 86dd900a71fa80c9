//! The sender on real sockets: what stands between the decisions and the network.

pub mod discovery;
pub mod host;
pub mod inbound;
pub mod outbound;
pub mod reports;
pub mod store;

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// A message's id, as its client chose it.
pub type Txn = Rc<str>;

/// Bytes that a message's body may hold at most.
pub const MAX_BODY: usize = 64 * 1024;

/// Bytes that a connection buffers of a head or a body at most, either way.
const MAX_BUFFER: usize = 16 * 1024;
const READ_AT_ONCE: usize = 4 * 1024;

/// What can go wrong with a request to the platform.
#[derive(Debug, thiserror::Error)]
enum HttpError {
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
type Driver = JoinSet<hyper::Result<()>>;

async fn connect<B>(addr: SocketAddr) -> Result<(SendRequest<B>, Driver), HttpError>
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

/// What has passed over a connection for the message at hand.
#[derive(Debug, Default)]
struct Meter {
    written: Cell<u64>,
    complete: Cell<bool>,
    /// When its first byte came in.
    heard: Cell<Option<Instant>>,
}

impl Meter {
    /// From here on the next message counts.
    fn reset(&self) {
        self.written.set(0);
        self.complete.set(false);
        self.heard.set(None);
    }

    /// What comes in from here on is the next message's.
    fn listen(&self) {
        self.heard.set(None);
    }

    fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Whether any byte has been written.
    fn started(&self) -> bool {
        self.written.get() > 0
    }

    /// Whether the last byte has been written.
    fn complete(&self) -> bool {
        self.complete.get()
    }
}

/// A stream that keeps its meter.
struct Metered {
    stream: TcpStream,
    meter: Rc<Meter>,
}

impl Metered {
    fn new(stream: TcpStream, meter: Rc<Meter>) -> Self {
        Self { stream, meter }
    }

    fn count(&self, result: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = result {
            self.meter.written.set(self.meter.written.get() + *n as u64);
        }
    }
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        // A buffer of its own, as what hyper's cursor has been given cannot be looked at again.
        let mut bytes = [0; READ_AT_ONCE];
        let room = buf.remaining().min(READ_AT_ONCE);
        let mut read = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        if !read.filled().is_empty() && self.meter.heard.get().is_none() {
            self.meter.heard.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // hyper flushes only once all that it has encoded is written, and it encodes a message with a ready
        // body as a whole: after the first byte, a flush means that the last one is written too.
        if self.meter.started() {
            self.meter.complete.set(true);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
