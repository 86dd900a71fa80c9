//! Forwards the bytes of one proxied connection, subject to the proxy's faults.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::Fault;

/// Maximum number of bytes that are read and written at once.
const CHUNK_LEN: usize = 16 * 1024;

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Forwards a client's connection to the server until it ends, is cut or is reset.
pub(super) async fn forward_connection(
    mut client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut resets: watch::Receiver<u64>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    if client.set_nodelay(true).and(server.set_nodelay(true)).is_err() {
        return;
    }
    // The halves are borrowed, because dropping an owned half would shut its direction down without a reset.
    let ended_without_cut = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        // A cut ends both directions, whereas the end of a stream ends only its own direction.
        let cut = Notify::new();
        let requests =
            OneWay { direction: Direction::ToServer, fault: fault.clone(), cut: &cut, forwarded_len: 0 };
        let responses = OneWay { direction: Direction::ToClient, fault, cut: &cut, forwarded_len: 0 };
        let both = async {
            tokio::join!(requests.run(client_read, server_write), responses.run(server_read, client_write))
        };
        tokio::select! {
            _ = both => true,
            () = cut.notified() => false,
            _ = resets.changed() => false,
        }
    };
    if !ended_without_cut {
        for stream in [&client, &server] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// One direction of a connection.
struct OneWay<'a> {
    direction: Direction,
    fault: watch::Receiver<Fault>,
    /// Notified when both directions are to be reset.
    cut: &'a Notify,
    /// Number of bytes forwarded so far.
    forwarded_len: u64,
}

impl OneWay<'_> {
    /// Forwards bytes until the direction ends.
    async fn run(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) {
        let mut buffer = vec![0; CHUNK_LEN];
        loop {
            let Ok(len) = from.read(&mut buffer).await else {
                self.cut.notify_one();
                return;
            };
            let read_at = Instant::now();
            if len == 0 {
                let _ = to.shutdown().await;
                return;
            }
            let fault = *self.fault.borrow_and_update();
            sleep_until(read_at + fault.delay).await;
            if self.loses_bytes(&fault) {
                return self.cut_after_loss().await;
            }
            if self.write(&mut to, &buffer[..len], &fault).await.is_break() {
                return;
            }
        }
    }

    fn loses_bytes(&self, fault: &Fault) -> bool {
        fault.black_hole || (fault.lose_responses && self.direction == Direction::ToClient)
    }

    /// Waits for the end of a fault that loses bytes, then cuts the connection, which cannot continue without the lost
    /// bytes.
    async fn cut_after_loss(&mut self) {
        let to_client = self.direction == Direction::ToClient;
        let is_over = |fault: &Fault| !(fault.black_hole || (fault.lose_responses && to_client));
        let _ = self.fault.wait_for(is_over).await;
        self.cut.notify_one();
    }

    /// Number of bytes that may still be forwarded under a limit; `None` without a limit. Limits apply to the direction to
    /// the server only.
    fn remaining_len(&self, limit: Option<u64>) -> Option<usize> {
        limit
            .filter(|_| self.direction == Direction::ToServer)
            .map(|limit| limit.saturating_sub(self.forwarded_len) as usize)
    }

    /// Writes a chunk up to the fault's limits. Breaks when the direction has ended.
    async fn write(
        &mut self,
        to: &mut WriteHalf<'_>,
        chunk: &[u8],
        fault: &Fault,
    ) -> std::ops::ControlFlow<()> {
        let len_until_cut = self.remaining_len(fault.cut_after);
        let len_until_half_close = self.remaining_len(fault.half_close_after);
        let len = len_until_cut.into_iter().chain(len_until_half_close).fold(chunk.len(), usize::min);
        let written = match fault.trickle {
            None => to.write_all(&chunk[..len]).await.is_ok(),
            Some(pause) => trickle(to, &chunk[..len], pause).await,
        };
        self.forwarded_len += len as u64;
        if !written || len_until_cut.is_some_and(|limit| limit <= len) {
            self.cut.notify_one();
            return std::ops::ControlFlow::Break(());
        }
        if len_until_half_close.is_some_and(|limit| limit <= len) {
            let _ = to.shutdown().await;
            return std::ops::ControlFlow::Break(());
        }
        std::ops::ControlFlow::Continue(())
    }
}

/// Writes bytes one at a time with a pause after each. Returns whether all were written.
async fn trickle(to: &mut WriteHalf<'_>, bytes: &[u8], pause: Duration) -> bool {
    let mut written = true;
    for byte in bytes {
        written &= to.write_all(&[*byte]).await.is_ok();
        sleep(pause).await;
    }
    written
}
