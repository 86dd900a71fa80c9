//! How a connection is closed: not over bytes that nobody has read. The system answers such a close with a reset, and
//! with that goes what was written before and the other side has not read yet.

use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::sleep;

use crate::write_progress::Socket;

/// A peer that reads hears of the end within a round trip, and ends its side then. One that has not done so by now
/// is as good as gone.
pub(crate) const LONGEST: Duration = Duration::from_millis(500);
/// What a well-behaved peer can have on its way is one request, of 64 KiB and its head: this is room for several. Who
/// sends more floods, and may be reset.
const MOST_DISCARDED: usize = 256 * 1024;
const READ_AT_ONCE: usize = 4 * 1024;

/// Whether bytes have come that this process has not read.
pub(crate) fn has_unread(socket: &Socket) -> bool {
    matches!(SockRef::from(&*socket.borrow()).peek(&mut [MaybeUninit::uninit(); 1]), Ok(1..))
}

/// Ends the writing half, and reads and discards until the peer has ended, too, or a bound is reached, or until
/// `hurry` when its descriptor is needed. Then the socket may be dropped.
pub(crate) async fn finish(socket: &Socket, hurry: impl Future<Output = ()>) {
    // It fails where the connection is gone already; then reading says so as well.
    let _ = SockRef::from(&*socket.borrow()).shutdown(Shutdown::Write);
    let mut room = MOST_DISCARDED;
    if discard(socket, &mut room) {
        return;
    }
    let ended = async {
        while room > 0 {
            match read(socket).await {
                Ok(n @ 1..) => room = room.saturating_sub(n),
                _ => return true,
            }
        }
        false
    };
    let ended = tokio::select! {
        biased;
        ended = ended => ended,
        () = hurry => false,
        () = sleep(LONGEST) => false,
    };
    if !ended {
        discard(socket, &mut room);
    }
}

/// Ends the writing half and discards what has come, at once: for when nothing can be waited for any more.
pub(crate) fn abandon(socket: &Socket) {
    let _ = SockRef::from(&*socket.borrow()).shutdown(Shutdown::Write);
    let mut room = MOST_DISCARDED;
    discard(socket, &mut room);
}

/// Discards what has come, as the system has it and not only as the runtime knows; whether the peer has ended.
fn discard(socket: &Socket, room: &mut usize) -> bool {
    let mut bytes = [MaybeUninit::uninit(); READ_AT_ONCE];
    while *room > 0 {
        match SockRef::from(&*socket.borrow()).recv(&mut bytes) {
            Ok(n @ 1..) => *room = room.saturating_sub(n),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return false,
            _ => return true,
        }
    }
    false
}

async fn read(socket: &Socket) -> std::io::Result<usize> {
    let mut bytes = [0; READ_AT_ONCE];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|cx| Pin::new(&mut *socket.borrow_mut()).poll_read(cx, &mut buffer)).await?;
    Ok(buffer.filled().len())
}
