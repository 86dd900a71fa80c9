//! Carries the bytes of one proxied connection, subject to the proxy's faults.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::Fault;

/// Bytes that are carried at once.
const CHUNK_LEN: usize = 16 * 1024;

/// Direction of the bytes, seen from the client that connected to the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Carries a client's connection to the server until it ends, is cut or reset.
pub(super) async fn carry(
    mut client: TcpStream,
    server: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut resets: watch::Receiver<u64>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    if client.set_nodelay(true).and(server.set_nodelay(true)).is_err() {
        return;
    }
    // Borrowed halves: dropping an owned one would end its direction without a reset.
    let ended = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        // A cut ends both directions, the end of a stream only its own.
        let cut = Notify::new();
        let requests = OneWay { direction: Direction::ToServer, fault: fault.clone(), cut: &cut, carried: 0 };
        let responses = OneWay { direction: Direction::ToClient, fault, cut: &cut, carried: 0 };
        let both = async {
            tokio::join!(requests.run(client_read, server_write), responses.run(server_read, client_write))
        };
        tokio::select! {
            _ = both => true,
            () = cut.notified() => false,
            _ = resets.changed() => false,
        }
    };
    if !ended {
        for stream in [&client, &server] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// One direction of a connection.
struct OneWay<'a> {
    direction: Direction,
    fault: watch::Receiver<Fault>,
    cut: &'a Notify,
    /// Bytes carried so far.
    carried: u64,
}

impl OneWay<'_> {
    /// Carries until the direction ends.
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
            if self.loses(&fault) {
                return self.wait_out_loss().await;
            }
            if self.write(&mut to, &buffer[..len], &fault).await.is_break() {
                return;
            }
        }
    }

    fn loses(&self, fault: &Fault) -> bool {
        fault.black_hole || (fault.lose_responses && self.direction == Direction::ToClient)
    }

    /// Waits for the end of a fault that loses bytes, and cuts the connection, which cannot continue without them.
    async fn wait_out_loss(&mut self) {
        let to_client = self.direction == Direction::ToClient;
        let is_over = |fault: &Fault| !(fault.black_hole || (fault.lose_responses && to_client));
        let _ = self.fault.wait_for(is_over).await;
        self.cut.notify_one();
    }

    /// Number of bytes that may still be carried under a limit of the direction to the server; `None` without a limit.
    fn rest_of(&self, limit: Option<u64>) -> Option<usize> {
        limit
            .filter(|_| self.direction == Direction::ToServer)
            .map(|limit| limit.saturating_sub(self.carried) as usize)
    }

    /// Writes a chunk up to the fault's limits; breaks at the end of the direction.
    async fn write(
        &mut self,
        to: &mut WriteHalf<'_>,
        chunk: &[u8],
        fault: &Fault,
    ) -> std::ops::ControlFlow<()> {
        let cut_at = self.rest_of(fault.cut_after);
        let half_close_at = self.rest_of(fault.half_close_after);
        let len = cut_at.into_iter().chain(half_close_at).fold(chunk.len(), usize::min);
        let written = match fault.trickle {
            None => to.write_all(&chunk[..len]).await.is_ok(),
            Some(pause) => trickle(to, &chunk[..len], pause).await,
        };
        self.carried += len as u64;
        if !written || cut_at.is_some_and(|at| at <= len) {
            self.cut.notify_one();
            return std::ops::ControlFlow::Break(());
        }
        if half_close_at.is_some_and(|at| at <= len) {
            let _ = to.shutdown().await;
            return std::ops::ControlFlow::Break(());
        }
        std::ops::ControlFlow::Continue(())
    }
}

/// Writes byte by byte with a pause after each; whether all were written.
async fn trickle(to: &mut WriteHalf<'_>, bytes: &[u8], pause: Duration) -> bool {
    let mut written = true;
    for byte in bytes {
        written &= to.write_all(&[*byte]).await.is_ok();
        sleep(pause).await;
    }
    written
}
