//! An HTTP/1.1 client with a pooled connection for each call in flight.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::spawn_local;

use super::connect;

/// The connections to one receiver.
pub(super) struct Http1Pool {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    opened: Cell<u32>,
}

impl Http1Pool {
    /// A pool without any connection.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: RefCell::default(), opened: Cell::new(0) }
    }

    /// Number of connections opened since the pool was created.
    pub fn opened(&self) -> u32 {
        self.opened.get()
    }

    /// Posts a body; whether it was delivered.
    pub async fn call(&self, body: Bytes) -> io::Result<bool> {
        let mut connection = self.connection().await?;
        let request = Request::post("/drop").header("host", "gw.example.org").body(Full::new(body));
        let request = request.map_err(io::Error::other)?;
        let response = connection.send_request(request).await.map_err(io::Error::other)?;
        let delivered = response.status().is_success();
        response.into_body().collect().await.map_err(io::Error::other)?;
        self.idle.borrow_mut().push(connection);
        Ok(delivered)
    }

    /// An idle connection, or a new one.
    async fn connection(&self) -> io::Result<SendRequest<Full<Bytes>>> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.opened.set(self.opened.get() + 1);
        let io = TokioIo::new(connect(self.addr).await?);
        let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
        // The task ends with its connection, at the latest when the run's `LocalSet` is dropped.
        spawn_local(connection);
        Ok(sender)
    }
}
