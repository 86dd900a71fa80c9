//! A stream that notes what passes over it: how far a message has got decides whether it may have run.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::metrics::Metrics;

/// Bytes that a connection buffers of a head or a body at most, either way.
pub(crate) const MAX_BUFFER: usize = 16 * 1024;
const READ_AT_ONCE: usize = 4 * 1024;
/// Bytes of an answer that are noted: 1xx answers and the line with the status.
const ANSWER_NOTED: usize = 2 * 1024;

/// What has passed over a connection for the message at hand.
#[derive(Debug, Default)]
pub(crate) struct WriteProgress {
    written: Cell<u64>,
    complete: Cell<bool>,
    /// When its first byte came in, not counting 1xx answers.
    heard: Cell<Option<Instant>>,
    /// On the way to a receiver: the head of its answer, as far as it matters.
    answer: Option<RefCell<Vec<u8>>>,
    /// Where a message is counted once its last byte is written, if this one still has to be.
    uncounted: RefCell<Option<Rc<Metrics>>>,
    /// Whenever something has come in.
    more: Notify,
}

impl WriteProgress {
    /// One that also keeps the head of each answer.
    pub(crate) fn of_answers() -> Self {
        Self { answer: Some(RefCell::default()), ..Self::default() }
    }

    /// From here on the next message counts.
    pub(crate) fn reset(&self) {
        self.written.set(0);
        self.complete.set(false);
        self.uncounted.borrow_mut().take();
        self.listen();
    }

    /// The message at hand is counted once its last byte is written.
    pub(crate) fn count_in(&self, metrics: Rc<Metrics>) {
        *self.uncounted.borrow_mut() = Some(metrics);
    }

    /// What comes in from here on is the next message's.
    pub(crate) fn listen(&self) {
        self.heard.set(None);
        if let Some(answer) = &self.answer {
            answer.borrow_mut().clear();
        }
    }

    fn note(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let begun = match &self.answer {
            None => true,
            Some(answer) => {
                let mut answer = answer.borrow_mut();
                let room = ANSWER_NOTED.saturating_sub(answer.len());
                answer.extend_from_slice(&bytes[..bytes.len().min(room)]);
                // What is said ahead of the answer is not the answer.
                while answer.starts_with(b"HTTP/1.1 1")
                    && let Some(end) = answer.windows(4).position(|w| w == b"\r\n\r\n")
                {
                    answer.drain(..end + 4);
                }
                !answer.is_empty() && !answer.starts_with(b"HTTP/1.1 1")
            }
        };
        if begun && self.heard.get().is_none() {
            self.heard.set(Some(Instant::now()));
        }
        self.more.notify_one();
    }

    /// Whether the first line of the answer is whole and says 200, whatever the rest of it is like.
    pub(crate) fn says_ok(&self) -> bool {
        let Some(answer) = &self.answer else { return false };
        let answer = answer.borrow();
        let line = answer.iter().position(|&b| b == b'\n').map_or(&[][..], |end| &answer[..end]);
        let Some((version, rest)) = line.split_at_checked(b"HTTP/1.x".len()) else { return false };
        let ok =
            rest.strip_prefix(b" 200").is_some_and(|rest| rest.first().is_none_or(u8::is_ascii_whitespace));
        version.starts_with(b"HTTP/1.") && ok
    }

    /// Resolves once an answer has begun and its head has not ended `limit` later: it will not.
    pub(crate) async fn head_without_end(&self, limit: Duration) {
        loop {
            if let Some(at) = self.heard() {
                sleep_until(at + limit).await;
                return;
            }
            self.more.notified().await;
        }
    }

    /// Resolves at this time if the last byte is not written by then.
    pub(crate) async fn incomplete_at(&self, at: Instant) {
        sleep_until(at).await;
        if self.complete() {
            std::future::pending::<()>().await;
        }
    }

    pub(crate) fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Whether any byte has been written.
    pub(crate) fn started(&self) -> bool {
        self.written.get() > 0
    }

    /// Whether the last byte has been written.
    pub(crate) fn complete(&self) -> bool {
        self.complete.get()
    }
}

/// A socket, whose owner still has it when the HTTP connection over it has ended: how it is closed decides what
/// becomes of bytes that are on their way.
pub(crate) type Socket = Rc<RefCell<TcpStream>>;

/// A stream that keeps its meter.
pub(crate) struct Metered {
    socket: Socket,
    write_progress: Rc<WriteProgress>,
}

impl Metered {
    pub(crate) fn new(socket: Socket, write_progress: Rc<WriteProgress>) -> Self {
        Self { socket, write_progress }
    }

    /// Before the first byte of a request: what has come behind the last answer, a second copy or noise, would
    /// be read as the answer to this one; and a connection that has ended would lose it.
    fn check_quiet(&self) -> std::io::Result<()> {
        if self.write_progress.answer.is_none() || self.write_progress.started() {
            return Ok(());
        }
        match SockRef::from(&*self.socket.borrow()).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => Err(ErrorKind::InvalidData.into()),
        }
    }

    fn count(&self, result: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = result {
            self.write_progress.written.set(self.write_progress.written.get() + *n as u64);
        }
    }
}

impl Read for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        // A buffer of its own, as what hyper's cursor has been given cannot be looked at again.
        let mut bytes = [0; READ_AT_ONCE];
        let room = buf.remaining().min(READ_AT_ONCE);
        let mut read = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        self.write_progress.note(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Metered {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        self.check_quiet()?;
        let result = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, buf);
        self.count(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.check_quiet()?;
        let result = Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, bufs);
        self.count(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // hyper flushes only once all that it has encoded is written, and it encodes a message with a ready
        // body as a whole: after the first byte, a flush means that the last one is written too.
        if self.write_progress.started() {
            self.write_progress.complete.set(true);
            if let Some(metrics) = self.write_progress.uncounted.borrow_mut().take() {
                metrics.call_written();
            }
        }
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}
