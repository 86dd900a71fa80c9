//! Three senders that gossip over loopback.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use rudderspindle_gossip::{LimitId, RecoveryRamp};
use rudderspindle_policy::interface::{Demand, DestinationId, LimitScope};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::{FleetSettings, GossipTask};
use crate::config::GossipConfig;
use crate::event::{ActivityReport, Input, LimitDemand};

const LIMIT: f64 = 60.0;

fn demand(wanted: f64) -> LimitDemand {
    let scope = LimitScope { destination: DestinationId(7), route: None };
    let demand = Demand { scope, limit: LIMIT, calls_wanted: wanted, calls_made: 0, rejected: 0, failed: 0 };
    LimitDemand { limit: LimitId::of(7, None), demand }
}

/// Starts three senders; returns the address of each, and the inputs of its engine.
async fn start_three_senders() -> Vec<(SocketAddr, mpsc::Receiver<Input>)> {
    let mut sockets = Vec::new();
    for _ in 0..3 {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    }
    let peers: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect();
    let start = |(me, socket): (usize, UdpSocket)| {
        let (listen, peers) = (peers[me], peers.clone());
        let (engine, inputs) = mpsc::channel(16);
        spawn_local(
            GossipTask::new(
                GossipConfig { me, listen, peers },
                RecoveryRamp { initial_fraction: 0.3, growth_per_s: 0.1 },
                FleetSettings::default(),
            )
            .exchange(socket, engine),
        );
        (listen, inputs)
    };
    sockets.into_iter().enumerate().map(start).collect()
}

/// Acts as the engine of one sender until all three have received a capacity below their demand; returns this sender's
/// first one.
async fn run_engine(inputs: &mut mpsc::Receiver<Input>, wanted: f64, limited_senders: &Cell<usize>) -> f64 {
    let mut first_share = None;
    // A sender that stopped earlier would be missing in the sums of the others.
    while limited_senders.get() < 3 {
        match timeout(Duration::from_secs(20), inputs.recv()).await.expect("in time").expect("an input") {
            Input::ReportActivity(reply) => {
                let activity = ActivityReport { demands: vec![demand(wanted)], ..ActivityReport::default() };
                let _ = reply.send(activity);
            }
            Input::CapacityUpdates(updates) => {
                if let Some(share) = updates.first().filter(|share| share.rate_per_demand < 0.9)
                    && first_share.replace(share.rate_per_demand).is_none()
                {
                    limited_senders.set(limited_senders.get() + 1);
                }
            }
            other => panic!("{other:?}"),
        }
    }
    first_share.expect("a capacity share")
}

/// Their total demand is two and a half times the limit, the demand of each is below it. Malformed datagrams of an unknown
/// sender change nothing.
#[tokio::test]
async fn three_senders_learn_their_capacity_shares_from_one_another() {
    let test = async {
        let mut senders = start_three_senders().await;
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        for (addr, _) in &senders {
            for junk in [&b""[..], b"a", &[0x61; 256], &[0x62; 300]] {
                unknown_sender.send_to(junk, addr).await.expect("sent");
            }
        }
        let [a, b, c] = &mut senders[..] else { panic!("three") };
        let limited_senders = Cell::new(0);
        let shares = tokio::join!(
            run_engine(&mut a.1, 50.0, &limited_senders),
            run_engine(&mut b.1, 50.0, &limited_senders),
            run_engine(&mut c.1, 50.0, &limited_senders)
        );
        for share in [shares.0, shares.1, shares.2] {
            // The first sums may not include all three; encoded loads are accurate to a twentieth.
            assert!((LIMIT / 150.0 * 0.85..=LIMIT / 50.0 * 0.9).contains(&share), "{share}");
        }
    };
    LocalSet::new().run_until(test).await;
}
