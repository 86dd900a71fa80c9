//! Closes a connection without a reset, so that the peer (the client at the remote end) receives everything that was
//! written before.
//!
//! Closing a socket with unread bytes sends a reset, and the peer loses the data that it has not read yet. To avoid
//! this, the writing half is shut down first, and received bytes are discarded until the peer closes its side.

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

/// How long the peer may take to close its side after the writing half is shut down.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded; the connection of a peer that sends more may be reset. A request has a
/// head and a body of up to 64 KiB.
const MAX_DISCARDED: usize = 256 * 1024;
/// Maximum number of bytes that one call reads.
const READ_CHUNK_SIZE: usize = 4 * 1024;

/// Whether bytes have been received that this process has not read.
pub(crate) fn has_unread(socket: &SharedSocket) -> bool {
    matches!(SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit(); 1]), Ok(1..))
}

/// Shuts down the writing half, then discards received bytes until the peer has closed its side, [`MAX_DISCARDED`] or
/// [`CLOSE_TIMEOUT`] is reached, or `close_immediately` resolves. The socket may be dropped afterwards.
pub(crate) async fn finish(socket: &SharedSocket, close_immediately: impl Future<Output = ()>) {
    shut_down_writing(socket);
    let mut discard_budget = MAX_DISCARDED;
    if discard_received(socket, &mut discard_budget) {
        return;
    }
    let peer_closed = tokio::select! {
        biased;
        peer_closed = discard_until_closed(socket, &mut discard_budget) => peer_closed,
        () = close_immediately => false,
        () = sleep(CLOSE_TIMEOUT) => false,
    };
    if !peer_closed {
        discard_received(socket, &mut discard_budget);
    }
}

/// Shuts down the writing half and discards the bytes received so far, without waiting for the peer.
pub(crate) fn close_without_waiting(socket: &SharedSocket) {
    shut_down_writing(socket);
    let mut discard_budget = MAX_DISCARDED;
    discard_received(socket, &mut discard_budget);
}

fn shut_down_writing(socket: &SharedSocket) {
    // The error is ignored: this fails only if the connection has ended, and then reading fails as well.
    let _ = SockRef::from(&*socket.borrow()).shutdown(Shutdown::Write);
}

/// Discards the bytes received so far, without waiting for the peer. Returns whether the peer has closed its side or
/// the connection has failed.
fn discard_received(socket: &SharedSocket, discard_budget: &mut usize) -> bool {
    let mut bytes = [MaybeUninit::uninit(); READ_CHUNK_SIZE];
    while *discard_budget > 0 {
        match SockRef::from(&*socket.borrow()).recv(&mut bytes) {
            Ok(received @ 1..) => *discard_budget = discard_budget.saturating_sub(received),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            _ => return true,
        }
    }
    false
}

/// Discards received bytes until the peer closes its side or the connection fails; returns `false` if
/// `discard_budget` bytes were discarded before that.
async fn discard_until_closed(socket: &SharedSocket, discard_budget: &mut usize) -> bool {
    while *discard_budget > 0 {
        match read(socket).await {
            Ok(received @ 1..) => *discard_budget = discard_budget.saturating_sub(received),
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
