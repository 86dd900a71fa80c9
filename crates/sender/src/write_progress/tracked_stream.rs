//! A TCP stream for hyper that records in a [`WriteProgress`] what is read from it and written to it.

use std::cell::RefCell;
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::WriteProgress;

/// Maximum number of bytes that one call reads.
const READ_CHUNK_SIZE: usize = 4 * 1024;

/// A socket that is shared with the HTTP connection over it, so that the connection's task can close the socket
/// gracefully or with a reset after the HTTP connection has ended.
pub(crate) type SharedSocket = Rc<RefCell<TcpStream>>;

/// A stream that records what is read and written.
pub(crate) struct TrackedStream {
    socket: SharedSocket,
    progress: Rc<WriteProgress>,
}

impl TrackedStream {
    /// Wraps `socket`; reads and writes are recorded in `progress`.
    pub(crate) fn new(socket: SharedSocket, progress: Rc<WriteProgress>) -> Self {
        Self { socket, progress }
    }

    /// Returns an error if a request is about to be written to a connection that has unread bytes or has ended: unread
    /// bytes would be interpreted as the response, and the request would be lost on an ended connection.
    fn check_no_unsolicited_bytes(&self) -> Result<()> {
        if !self.progress.tracks_responses() || self.progress.write_started() {
            return Ok(());
        }
        match SockRef::from(&*self.socket.borrow()).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => Err(ErrorKind::InvalidData.into()),
        }
    }

    fn record_write(&self, write_result: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(written)) = write_result {
            self.progress.record_written(*written);
        }
    }
}

impl Read for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        // A separate buffer is used because bytes that were put into hyper's cursor cannot be read again.
        let mut bytes = [0; READ_CHUNK_SIZE];
        let capacity = target.remaining().min(READ_CHUNK_SIZE);
        let mut chunk = ReadBuf::new(&mut bytes[..capacity]);
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(context, &mut chunk))?;
        let received = self.progress.without_repeated_response(chunk.filled());
        target.put_slice(received);
        self.progress.record_received(received);
        Poll::Ready(Ok(()))
    }
}

impl Write for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.check_no_unsolicited_bytes()?;
        let write_result = Pin::new(&mut *self.socket.borrow_mut()).poll_write(context, bytes);
        self.record_write(&write_result);
        write_result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_no_unsolicited_bytes()?;
        let write_result = Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(context, slices);
        self.record_write(&write_result);
        write_result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // hyper encodes a message with a ready body in one piece, and flushes only after it has written everything that
        // is encoded. Therefore a flush after the first byte means that the last byte is written.
        if self.progress.write_started() {
            self.progress.record_write_complete();
        }
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(context)
    }
}
