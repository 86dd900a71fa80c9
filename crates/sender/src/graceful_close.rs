//! Closes a connection without a reset, so that the peer receives all that was written before.
//!
//! Closing a socket with unread bytes sends a reset, and the peer loses what it has not read yet. So the writing half is
//! shut down first, and received bytes are discarded until the peer closes its side.

use std::future::poll_fn;
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::sleep;

use crate::write_progress::SharedSocket;

/// How long the peer has to close its side after the shutdown.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded; a peer that sends more may be reset. A request has up to 64 KiB and its
/// head.
const MAX_DISCARDED: usize = 256 * 1024;
/// Bytes read by one call.
const READ_CHUNK_SIZE: usize = 4 * 1024;

/// Whether bytes have been received that this process has not read.
pub(crate) fn has_unread(socket: &SharedSocket) -> bool {
    matches!(SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit(); 1]), Ok(1..))
}

/// Shuts down the writing half, then reads and discards until the peer has closed its side, a bound is reached, or
/// `close_immediately` resolves. Then the socket may be dropped.
pub(crate) async fn finish(socket: &SharedSocket, close_immediately: impl Future<Output = ()>) {
    shut_down_writing(socket);
    let mut discard_limit = MAX_DISCARDED;
    if discard_received(socket, &mut discard_limit) {
        return;
    }
    let peer_closed = tokio::select! {
        biased;
        peer_closed = discard_until_closed(socket, &mut discard_limit) => peer_closed,
        () = close_immediately => false,
        () = sleep(CLOSE_TIMEOUT) => false,
    };
    if !peer_closed {
        discard_received(socket, &mut discard_limit);
    }
}

/// Shuts down the writing half and discards what has been received, without waiting.
pub(crate) fn abandon(socket: &SharedSocket) {
    shut_down_writing(socket);
    let mut discard_limit = MAX_DISCARDED;
    discard_received(socket, &mut discard_limit);
}

fn shut_down_writing(socket: &SharedSocket) {
    // Fails only if the connection has ended; reading fails as well then.
    let _ = SockRef::from(&*socket.borrow()).shutdown(Shutdown::Write);
}

/// Discards what the system has received, without waiting. Returns whether the peer has closed its side.
fn discard_received(socket: &SharedSocket, discard_limit: &mut usize) -> bool {
    let mut bytes = [MaybeUninit::uninit(); READ_CHUNK_SIZE];
    while *discard_limit > 0 {
        match SockRef::from(&*socket.borrow()).recv(&mut bytes) {
            Ok(received @ 1..) => *discard_limit = discard_limit.saturating_sub(received),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            _ => return true,
        }
    }
    false
}

/// Discards received bytes until the peer closes its side; returns `false` if the limit is reached before.
async fn discard_until_closed(socket: &SharedSocket, discard_limit: &mut usize) -> bool {
    while *discard_limit > 0 {
        match read(socket).await {
            Ok(received @ 1..) => *discard_limit = discard_limit.saturating_sub(received),
            _ => return true,
        }
    }
    false
}

async fn read(socket: &SharedSocket) -> Result<usize> {
    let mut bytes = [0; READ_CHUNK_SIZE];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|context| Pin::new(&mut *socket.borrow_mut()).poll_read(context, &mut buffer)).await?;
    Ok(buffer.filled().len())
}
