//! The datagram proxies between plain sockets on loopback.

use std::time::{Duration, Instant};

use rudderspindle_testkit::datagram_proxy::{DatagramCounts, DatagramProxy};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// A datagram as its receiver got it.
#[derive(Debug, PartialEq)]
struct Received {
    /// Index of the sender, by the address at which the receiver reaches it.
    from: usize,
    bytes: Vec<u8>,
}

fn received(from: usize, bytes: &[u8]) -> Received {
    Received { from, bytes: bytes.to_vec() }
}

struct Senders {
    sockets: Vec<UdpSocket>,
    proxy: DatagramProxy,
}

impl Senders {
    /// Starts three senders with proxies between them.
    async fn start(seed: u64) -> Self {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addrs: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        let proxy = DatagramProxy::start(&addrs, seed).await.expect("a proxy");
        Self { sockets, proxy }
    }

    async fn send(&self, from: usize, to: usize, datagram: &[u8]) {
        self.sockets[from].send_to(datagram, self.proxy.peers(from)[to]).await.expect("sent");
    }

    /// The next datagram that a sender receives.
    async fn next(&self, at: usize) -> Received {
        let mut buffer = [0; 300];
        let got = timeout(Duration::from_secs(20), self.sockets[at].recv_from(&mut buffer)).await;
        let (length, from) = got.expect("a datagram in time").expect("a datagram");
        let from = self.proxy.peers(at).iter().position(|addr| *addr == from).expect("one of its peers");
        Received { from, bytes: buffer[..length].to_vec() }
    }

    async fn until(&self, from: usize, to: usize, is: impl Fn(DatagramCounts) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !is(self.proxy.counts(from, to)) {
            assert!(Instant::now() < deadline, "{:?}", self.proxy.counts(from, to));
            sleep(Duration::from_millis(1)).await;
        }
    }
}

#[tokio::test]
async fn each_sender_reaches_every_other_at_its_own_address_and_datagrams_of_strangers_are_dropped() {
    let senders = Senders::start(1).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for from in 0..3 {
        assert_eq!(senders.proxy.peers(from)[from], senders.sockets[from].local_addr().expect("an address"));
        for to in (0..3).filter(|to| *to != from) {
            stranger.send_to(b"from n0", senders.proxy.peers(from)[to]).await.expect("sent");
            let datagram = format!("{from} to {to}").into_bytes();
            senders.send(from, to, &datagram).await;
            assert_eq!(senders.next(to).await, received(from, &datagram));
            let counts = senders.proxy.counts(from, to);
            assert_eq!((counts.passed, counts.passed_bytes, counts.dropped), (1, 6, 0));
        }
    }
}

#[tokio::test]
async fn a_cut_affects_one_direction_and_its_delayed_datagrams_until_it_is_healed() {
    let senders = Senders::start(2).await;
    let delayed = LinkFaults { delay: Duration::from_millis(50)..Duration::ZERO, ..LinkFaults::default() };
    senders.proxy.set(&[0], &[1], &delayed);
    senders.send(0, 1, b"on its way").await;
    senders.until(0, 1, |c| c.sent == 1).await;
    senders.proxy.cut(&[0, 2], &[1]);
    senders.send(2, 1, b"cut").await;
    senders.send(1, 0, b"back").await;
    senders.send(0, 2, b"aside").await;
    assert_eq!(senders.next(0).await, received(1, b"back"));
    assert_eq!(senders.next(2).await, received(0, b"aside"));
    senders.until(0, 1, |c| c.dropped == 1 && c.dropped_bytes == 10 && c.passed == 0).await;
    senders.until(2, 1, |c| c.dropped == 1 && c.passed == 0).await;
    senders.proxy.heal();
    senders.send(0, 1, b"healed").await;
    assert_eq!(senders.next(1).await, received(0, b"healed"));
}

#[tokio::test]
async fn faults_affect_datagrams_as_configured_and_can_change_while_the_proxy_runs() {
    let senders = Senders::start(3).await;
    let set = |faults: LinkFaults| senders.proxy.set(&[0], &[1], &faults);
    set(LinkFaults { drop: 1.0, ..LinkFaults::default() });
    senders.send(0, 1, b"lost").await;
    senders.until(0, 1, |c| c.dropped == 1).await;
    set(LinkFaults { damage: 1.0, ..LinkFaults::default() });
    senders.send(0, 1, b"damaged").await;
    let damaged = senders.next(1).await.bytes;
    assert_eq!(damaged.iter().zip(b"damaged").filter(|(a, b)| a != b).count(), 1);
    set(LinkFaults { duplicate: 1.0, ..LinkFaults::default() });
    senders.send(0, 1, b"twice").await;
    assert_eq!([senders.next(1).await.bytes, senders.next(1).await.bytes], [b"twice", b"twice"]);
    let since = Instant::now();
    let (delay, again) = (Duration::from_millis(30), Duration::from_millis(60));
    set(LinkFaults { delay: delay..delay, replay_after: Some(again), ..LinkFaults::default() });
    senders.send(0, 1, b"late").await;
    assert_eq!(senders.next(1).await.bytes, b"late");
    assert!(since.elapsed() >= delay);
    assert_eq!(senders.next(1).await.bytes, b"late");
    assert!(since.elapsed() >= delay + again);
    // Both are delayed; after that only one is, and the next one overtakes it.
    set(LinkFaults { reorder: 1.0, ..LinkFaults::default() });
    senders.send(0, 1, b"first").await;
    senders.send(0, 1, b"second").await;
    senders.send(2, 1, b"other").await;
    let order = [senders.next(1).await.bytes, senders.next(1).await.bytes, senders.next(1).await.bytes];
    assert_eq!(order, [b"other".to_vec(), b"first".to_vec(), b"second".to_vec()]);
    let sent = senders.proxy.counts(0, 1).sent;
    senders.send(0, 1, b"held back").await;
    senders.until(0, 1, |c| c.sent > sent).await;
    set(LinkFaults::default());
    senders.send(0, 1, b"overtakes").await;
    let order = [senders.next(1).await.bytes, senders.next(1).await.bytes];
    assert_eq!(order, [b"overtakes", b"held back"]);
}

/// The numbers of the datagrams that reach a sender over a link that loses half of them, with or without traffic on other
/// links.
async fn arrived(to: usize, other_traffic: bool) -> Vec<u8> {
    let senders = Senders::start(4).await;
    senders.proxy.set(&[0, 1, 2], &[0, 1, 2], &LinkFaults { drop: 0.5, ..LinkFaults::default() });
    for n in 0..100 {
        if other_traffic {
            senders.send(to, 0, b"x").await;
            senders.send(1, 2, b"x").await;
        }
        senders.send(0, to, &[n]).await;
    }
    senders.until(0, to, |c| c.passed + c.dropped == 100).await;
    let mut arrived = Vec::new();
    for _ in 0..senders.proxy.counts(0, to).passed {
        arrived.push(senders.next(to).await.bytes[0]);
    }
    arrived
}

#[tokio::test]
async fn the_losses_of_a_link_are_its_own_and_independent_of_the_traffic_on_others() {
    let alone = arrived(1, false).await;
    assert!((30..70).contains(&alone.len()), "{}", alone.len());
    assert_eq!(alone, arrived(1, true).await);
    assert_ne!(alone, arrived(2, false).await);
}
