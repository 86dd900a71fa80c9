//! An HTTP/1.1 client with a pooled connection for each call in flight.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::spawn_local;

use crate::tcp::connect;

/// The connections to one address.
pub struct Http1Pool {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    opened: Cell<u32>,
}

impl Http1Pool {
    /// A pool without any connection.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default(), opened: Cell::new(0) }
    }

    /// The address of the connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of connections opened since the pool was created.
    pub fn opened(&self) -> u32 {
        self.opened.get()
    }

    /// Sends a request and reads its response; the response's status.
    ///
    /// # Errors
    ///
    /// If connecting, sending or reading fails; the connection is dropped.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> io::Result<StatusCode> {
        let mut connection = self.connection().await?;
        let response = connection.send_request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        response.into_body().collect().await.map_err(io::Error::other)?;
        if connection.ready().await.is_ok() {
            self.idle.borrow_mut().push(connection);
        }
        Ok(status)
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self) -> io::Result<SendRequest<Full<Bytes>>> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle.filter(|connection| !connection.is_closed()) {
            return Ok(connection);
        }
        self.opened.set(self.opened.get() + 1);
        let stream = connect(self.addr).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // The task ends with its connection, at the latest when the `LocalSet` is dropped.
        spawn_local(connection);
        Ok(sender)
    }
}
