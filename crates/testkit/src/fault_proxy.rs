//! A link between any two of them: what is written on one side comes out on the other, unless the script says
//! otherwise. Plain TCP on loopback, no rights needed.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::listen;
use crate::scenario::{LinkFault, Ms};

/// Bytes that are carried at once.
const PIECE: usize = 16 * 1024;

/// What happens to what is carried. `forth` is from who connects to who is connected to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Everything is so late, each way.
    pub delay: Duration,
    /// Nothing more comes back, and nobody is told.
    pub lose_back: bool,
    /// Nothing more passes either way, and nobody is told. New connections come up and stay silent.
    pub black_hole: bool,
    /// After so many bytes forth both ends are reset.
    pub cut_after: Option<u64>,
    /// After so many bytes forth that direction is ended, the other goes on.
    pub half_close_after: Option<u64>,
    /// One byte at a time, with this pause, each way.
    pub trickle: Option<Duration>,
}

impl From<LinkFault> for Fault {
    fn from(trouble: LinkFault) -> Self {
        let ms = |ms: Ms| Duration::from_millis(ms.get());
        let none = Self::default();
        match trouble {
            LinkFault::Delay { ms: delay } => Self { delay: ms(delay), ..none },
            LinkFault::LoseResponses => Self { lose_back: true, ..none },
            LinkFault::BlackHole => Self { black_hole: true, ..none },
            LinkFault::CutAfter { bytes } => Self { cut_after: Some(bytes.into()), ..none },
            LinkFault::HalfCloseAfter { bytes } => Self { half_close_after: Some(bytes.into()), ..none },
            LinkFault::Trickle { pause_ms } => Self { trickle: Some(ms(pause_ms)), ..none },
            LinkFault::Reset => none,
        }
    }
}

/// A link that stands until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
    resets: watch::Sender<u64>,
    _task: tokio::task::JoinSet<()>,
}

impl FaultProxy {
    /// A link to `to` without faults.
    ///
    /// # Errors
    ///
    /// What the sockets say.
    ///
    /// ```
    /// # use rudderspindle_testkit::fault_proxy::{Fault, FaultProxy};
    /// # #[tokio::main(flavor = "current_thread")] async fn main() -> std::io::Result<()> {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let link = FaultProxy::start(listener.local_addr()?).await?;
    /// // Whoever connects to link.addr() reaches the listener; from now on 50 ms later, each way.
    /// link.set(Fault { delay: std::time::Duration::from_millis(50), ..Fault::default() });
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (fault, resets) = (watch::channel(Fault::default()).0, watch::channel(0).0);
        let mut task = tokio::task::JoinSet::new();
        task.spawn(accept(listener, to, fault.clone(), resets.clone()));
        Ok(Self { addr, fault, resets, _task: task })
    }

    /// Where to connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From now on, also on open connections.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Resets both ends of all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    fault: watch::Sender<Fault>,
    resets: watch::Sender<u64>,
) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        let stream = listen::next(&listener, &mut open).await;
        open.spawn(carry(stream, to, fault.subscribe(), resets.subscribe()));
    }
}

async fn carry(
    mut near: TcpStream,
    to: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut resets: watch::Receiver<u64>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return;
    }
    // Borrowed halves: an owned one would end its direction when dropped, where a reset is wanted.
    let ended = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        // Each way for itself; a cut ends both, an end only its own.
        let cut = Notify::new();
        let forth = one_way(near_read, far_write, fault.clone(), true, &cut);
        let back = one_way(far_read, near_write, fault, false, &cut);
        tokio::select! {
            _ = async { tokio::join!(forth, back) } => true,
            () = cut.notified() => false,
            _ = resets.changed() => false,
        }
    };
    if !ended {
        for stream in [&near, &far] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Carries one way until it ends.
async fn one_way(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<Fault>,
    forth: bool,
    cut: &Notify,
) {
    let (mut buffer, mut carried) = (vec![0; PIECE], 0u64);
    loop {
        let Ok(n) = from.read(&mut buffer).await else {
            cut.notify_one();
            return;
        };
        let read_at = Instant::now();
        if n == 0 {
            let _ = to.shutdown().await;
            return;
        }
        let now = *fault.borrow_and_update();
        sleep_until(read_at + now.delay).await;
        if now.black_hole || (now.lose_back && !forth) {
            // Until that is over; what came meanwhile is lost, and so is the connection's use.
            let lost = |f: &Fault| f.black_hole || (f.lose_back && !forth);
            let _ = fault.wait_for(|f| !lost(f)).await;
            cut.notify_one();
            return;
        }
        let limit =
            |after: Option<u64>| after.filter(|_| forth).map(|after| after.saturating_sub(carried) as usize);
        let (cut_at, half_at) = (limit(now.cut_after), limit(now.half_close_after));
        let end = cut_at.into_iter().chain(half_at).fold(n, usize::min);
        let written = match now.trickle {
            None => to.write_all(&buffer[..end]).await.is_ok(),
            Some(pause) => {
                let mut written = true;
                for byte in &buffer[..end] {
                    written &= to.write_all(&[*byte]).await.is_ok();
                    sleep(pause).await;
                }
                written
            }
        };
        carried += end as u64;
        if !written || cut_at.is_some_and(|at| at <= end) {
            cut.notify_one();
            return;
        }
        if half_at.is_some_and(|at| at <= end) {
            let _ = to.shutdown().await;
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    async fn pair(fault: Fault) -> (FaultProxy, TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let link = FaultProxy::start(listener.local_addr().expect("an address")).await.expect("a link");
        link.set(fault);
        let near = TcpStream::connect(link.addr()).await.expect("a connection");
        let (far, _) = listener.accept().await.expect("the other end");
        (link, near, far)
    }

    async fn read(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
        let mut bytes = vec![0; 64];
        let n = timeout(Duration::from_secs(20), stream.read(&mut bytes)).await.expect("in time")?;
        bytes.truncate(n);
        Ok(bytes)
    }

    #[tokio::test]
    async fn it_carries_both_ways_and_no_faster_than_told() {
        let (_link, mut near, mut far) =
            pair(Fault { delay: Duration::from_millis(30), ..Fault::default() }).await;
        let since = Instant::now();
        near.write_all(b"ping").await.expect("writable");
        assert_eq!(read(&mut far).await.expect("carried"), b"ping");
        assert!(since.elapsed() >= Duration::from_millis(30));
        far.write_all(b"pong").await.expect("writable");
        assert_eq!(read(&mut near).await.expect("carried"), b"pong");
        drop(near);
        assert_eq!(read(&mut far).await.expect("an end"), b"");
    }

    #[tokio::test]
    async fn it_cuts_and_half_closes_after_so_many_bytes() {
        let (_link, mut near, mut far) = pair(Fault { cut_after: Some(3), ..Fault::default() }).await;
        near.write_all(b"12345").await.expect("writable");
        // A reset may overtake what was carried before it.
        assert!(read(&mut far).await.is_ok_and(|b| b == b"123") || far.read(&mut [0]).await.is_err());
        assert!(read(&mut near).await.is_err());
        let (_link, mut near, mut far) = pair(Fault { half_close_after: Some(3), ..Fault::default() }).await;
        near.write_all(b"12345").await.expect("writable");
        assert_eq!(read(&mut far).await.expect("carried"), b"123");
        assert_eq!(read(&mut far).await.expect("an end"), b"");
        far.write_all(b"late").await.expect("writable");
        assert_eq!(read(&mut near).await.expect("the other way goes on"), b"late");
    }

    #[tokio::test]
    async fn it_loses_the_way_back_or_everything_without_a_word() {
        let (link, mut near, mut far) = pair(Fault { lose_back: true, ..Fault::default() }).await;
        near.write_all(b"ping").await.expect("writable");
        assert_eq!(read(&mut far).await.expect("forth goes on"), b"ping");
        far.write_all(b"pong").await.expect("writable");
        assert!(timeout(Duration::from_millis(100), near.read(&mut [0])).await.is_err());
        link.set(Fault::default());
        assert!(read(&mut near).await.is_err(), "what was lost is missing: the connection cannot go on");
        let (link, mut near, mut far) = pair(Fault { black_hole: true, ..Fault::default() }).await;
        near.write_all(b"ping").await.expect("writable");
        assert!(timeout(Duration::from_millis(100), far.read(&mut [0])).await.is_err());
        link.reset();
        assert!(read(&mut far).await.is_err());
    }

    #[tokio::test]
    async fn it_trickles() {
        let pause = Duration::from_millis(5);
        let (_link, mut near, mut far) = pair(Fault { trickle: Some(pause), ..Fault::default() }).await;
        near.write_all(b"1234").await.expect("writable");
        let since = Instant::now();
        let mut all = Vec::new();
        while all.len() < 4 {
            all.extend(read(&mut far).await.expect("carried"));
        }
        assert_eq!(all, b"1234");
        assert!(since.elapsed() >= pause * 2);
    }
}
