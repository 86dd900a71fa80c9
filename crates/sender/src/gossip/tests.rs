use std::cell::Cell;

use rudderspindle_gossip::LimitId;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::*;

const LIMIT: f64 = 60.0;

fn want(wanted: f64) -> LimitDemand {
    let destination = DestinationId(7);
    let want = Demand { destination, route: None, limit: LIMIT, wanted, called: 0, refused: 0, failed: 0 };
    LimitDemand { limit: LimitId::of(7, None), demand: want }
}

/// Three senders on loopback; the second field of each is what its host hears.
async fn three() -> Vec<(SocketAddr, mpsc::Receiver<Input>)> {
    let mut sockets = Vec::new();
    for _ in 0..3 {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    }
    let peers: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
    let start = |(me, socket): (usize, UdpSocket)| {
        let (listen, peers) = (peers[me], peers.clone());
        let (host, inputs) = mpsc::channel(16);
        spawn_local(
            GossipTask::new(
                Notes { me, listen, peers },
                RecoveryRamp { initial_fraction: 0.3, growth_per_s: 0.1 },
                FleetSettings::default(),
            )
            .converse(socket, host),
        );
        (listen, inputs)
    };
    sockets.into_iter().enumerate().map(start).collect()
}

/// Answers for its sender until all three have heard of less room than they would need; what this one heard.
async fn host(inputs: &mut mpsc::Receiver<Input>, wanted: f64, heard: &Cell<usize>) -> f64 {
    let mut room = None;
    // One that had heard and was silent from then on would leave the last one alone.
    while heard.get() < 3 {
        match timeout(Duration::from_secs(20), inputs.recv()).await.expect("in time").expect("an input") {
            Input::ReportActivity(asker) => {
                drop(asker.send(ActivityReport { demands: vec![want(wanted)], ..ActivityReport::default() }));
            }
            Input::CapacityShares { shares, .. } => {
                if let Some(share) = shares.first().filter(|share| share.calls < 0.9)
                    && room.replace(share.calls).is_none()
                {
                    heard.set(heard.get() + 1);
                }
            }
            other => panic!("{other:?}"),
        }
    }
    room.expect("it has heard, too")
}

/// Together they want two and a half times what there is, which none of them could know alone. What strangers and
/// broken senders throw at them changes nothing.
#[tokio::test]
async fn three_senders_learn_from_one_another_how_much_there_is_for_each() {
    let test = async {
        let mut senders = three().await;
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        for (addr, _) in &senders {
            for junk in [&b""[..], b"a", &[0x61; 256], &[0x62; 300]] {
                stranger.send_to(junk, addr).await.expect("sent");
            }
        }
        let [a, b, c] = &mut senders[..] else { panic!("three") };
        let heard = Cell::new(0);
        let rooms = tokio::join!(
            host(&mut a.1, 50.0, &heard),
            host(&mut b.1, 50.0, &heard),
            host(&mut c.1, 50.0, &heard)
        );
        for room in [rooms.0, rooms.1, rooms.2] {
            // All three may not be in the first sums; a figure is within a twentieth.
            assert!((LIMIT / 150.0 * 0.85..=LIMIT / 50.0 * 0.9).contains(&room), "{room}");
        }
    };
    LocalSet::new().run_until(test).await;
}
