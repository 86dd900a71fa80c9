//! A transport that sets a flag when bytes are received.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A transport, and the flag that is set when bytes arrive on it.
pub(super) struct ReceiveMonitor<Transport> {
    transport: Transport,
    data_received: Rc<Cell<bool>>,
}

impl<Transport> ReceiveMonitor<Transport> {
    /// Wraps `transport`; `data_received` is set when bytes arrive, and must be cleared by whoever reads it.
    pub(super) fn new(transport: Transport, data_received: Rc<Cell<bool>>) -> Self {
        Self { transport, data_received }
    }
}

impl<Transport: AsyncRead + Unpin> AsyncRead for ReceiveMonitor<Transport> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.transport).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.data_received.set(true);
        }
        result
    }
}

impl<Transport: AsyncWrite + Unpin> AsyncWrite for ReceiveMonitor<Transport> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.transport).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_shutdown(context)
    }
}
