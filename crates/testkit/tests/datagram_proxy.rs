//! The datagram proxies between plain sockets on loopback.

use std::time::{Duration, Instant};

use rudderspindle_testkit::datagram_proxy::{DatagramCounts, DatagramProxy};
use rudderspindle_testkit::fault_schedule::LinkFaults;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

struct Three {
    senders: Vec<UdpSocket>,
    mesh: DatagramProxy,
}

impl Three {
    async fn start(seed: u64) -> Self {
        let mut senders = Vec::new();
        for _ in 0..3 {
            senders.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        }
        let doors: Vec<_> = senders.iter().map(|s| s.local_addr().expect("an address")).collect();
        let mesh = DatagramProxy::start(&doors, seed).await.expect("a mesh");
        Self { senders, mesh }
    }

    async fn send(&self, from: usize, to: usize, note: &[u8]) {
        self.senders[from].send_to(note, self.mesh.peers(from)[to]).await.expect("sent");
    }

    /// The next note of a sender, and whose it is by its own list.
    async fn next(&self, at: usize) -> (usize, Vec<u8>) {
        let mut buffer = [0; 300];
        let got = timeout(Duration::from_secs(20), self.senders[at].recv_from(&mut buffer)).await;
        let (length, from) = got.expect("a note in time").expect("a note");
        let from = self.mesh.peers(at).iter().position(|addr| *addr == from).expect("one of its peers");
        (from, buffer[..length].to_vec())
    }

    async fn until(&self, from: usize, to: usize, is: impl Fn(DatagramCounts) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !is(self.mesh.counts(from, to)) {
            assert!(Instant::now() < end, "{:?}", self.mesh.counts(from, to));
            sleep(Duration::from_millis(1)).await;
        }
    }
}

#[tokio::test]
async fn each_sees_every_other_at_an_address_of_its_own_and_strangers_are_not_carried() {
    let three = Three::start(1).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for from in 0..3 {
        assert_eq!(three.mesh.peers(from)[from], three.senders[from].local_addr().expect("an address"));
        for to in (0..3).filter(|to| *to != from) {
            stranger.send_to(b"from n0", three.mesh.peers(from)[to]).await.expect("sent");
            let note = format!("{from} to {to}").into_bytes();
            three.send(from, to, &note).await;
            assert_eq!(three.next(to).await, (from, note));
            let counts = three.mesh.counts(from, to);
            assert_eq!((counts.passed, counts.passed_bytes, counts.dropped), (1, 6, 0));
        }
    }
}

#[tokio::test]
async fn a_cut_holds_in_its_direction_alone_until_it_is_healed_and_for_what_is_on_its_way() {
    let three = Three::start(2).await;
    let late = LinkFaults { delay: Duration::from_millis(50)..Duration::ZERO, ..LinkFaults::default() };
    three.mesh.set(&[0], &[1], &late);
    three.send(0, 1, b"on its way").await;
    three.until(0, 1, |c| c.sent == 1).await;
    three.mesh.cut(&[0, 2], &[1]);
    three.send(2, 1, b"cut").await;
    three.send(1, 0, b"back").await;
    three.send(0, 2, b"aside").await;
    assert_eq!(three.next(0).await, (1, b"back".to_vec()));
    assert_eq!(three.next(2).await, (0, b"aside".to_vec()));
    three.until(0, 1, |c| c.dropped == 1 && c.dropped_bytes == 10 && c.passed == 0).await;
    three.until(2, 1, |c| c.dropped == 1 && c.passed == 0).await;
    three.mesh.heal();
    three.send(0, 1, b"healed").await;
    assert_eq!(three.next(1).await, (0, b"healed".to_vec()));
}

#[tokio::test]
async fn foul_weather_reaches_the_receiver_as_told_and_changes_while_it_runs() {
    let three = Three::start(3).await;
    let set = |weather: LinkFaults| three.mesh.set(&[0], &[1], &weather);
    set(LinkFaults { drop: 1.0, ..LinkFaults::default() });
    three.send(0, 1, b"lost").await;
    three.until(0, 1, |c| c.dropped == 1).await;
    set(LinkFaults { damage: 1.0, ..LinkFaults::default() });
    three.send(0, 1, b"damaged").await;
    let (_, damaged) = three.next(1).await;
    assert_eq!(damaged.iter().zip(b"damaged").filter(|(a, b)| a != b).count(), 1);
    set(LinkFaults { duplicate: 1.0, ..LinkFaults::default() });
    three.send(0, 1, b"twice").await;
    assert_eq!([three.next(1).await.1, three.next(1).await.1], [b"twice", b"twice"]);
    let since = Instant::now();
    let (delay, again) = (Duration::from_millis(30), Duration::from_millis(60));
    set(LinkFaults { delay: delay..delay, replay_after: Some(again), ..LinkFaults::default() });
    three.send(0, 1, b"late").await;
    assert_eq!(three.next(1).await.1, b"late");
    assert!(since.elapsed() >= delay);
    assert_eq!(three.next(1).await.1, b"late");
    assert!(since.elapsed() >= delay + again);
    // Both are held back, and then one alone is, which the next one overtakes.
    set(LinkFaults { reorder: 1.0, ..LinkFaults::default() });
    three.send(0, 1, b"first").await;
    three.send(0, 1, b"second").await;
    three.send(2, 1, b"calm").await;
    let order = [three.next(1).await.1, three.next(1).await.1, three.next(1).await.1];
    assert_eq!(order, [b"calm".to_vec(), b"first".to_vec(), b"second".to_vec()]);
    let sent = three.mesh.counts(0, 1).sent;
    three.send(0, 1, b"held back").await;
    three.until(0, 1, |c| c.sent > sent).await;
    set(LinkFaults::default());
    three.send(0, 1, b"overtakes").await;
    let order = [three.next(1).await.1, three.next(1).await.1];
    assert_eq!(order, [b"overtakes", b"held back"]);
}

/// Which of a hundred notes to a sender arrive where half are lost, with others talking or not.
async fn arrived(to: usize, others: bool) -> Vec<u8> {
    let three = Three::start(4).await;
    three.mesh.set(&[0, 1, 2], &[0, 1, 2], &LinkFaults { drop: 0.5, ..LinkFaults::default() });
    for n in 0..100 {
        if others {
            three.send(to, 0, b"x").await;
            three.send(1, 2, b"x").await;
        }
        three.send(0, to, &[n]).await;
    }
    three.until(0, to, |c| c.passed + c.dropped == 100).await;
    let mut arrived = Vec::new();
    for _ in 0..three.mesh.counts(0, to).passed {
        arrived.push(three.next(to).await.1[0]);
    }
    arrived
}

#[tokio::test]
async fn what_is_lost_on_a_way_is_its_own_and_the_same_whatever_passes_on_others() {
    let alone = arrived(1, false).await;
    assert!((30..70).contains(&alone.len()), "{}", alone.len());
    assert_eq!(alone, arrived(1, true).await);
    assert_ne!(alone, arrived(2, false).await);
}
