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

/// Limit of the destination, in calls a second.
const LIMIT: f64 = 60.0;

fn limit_demand(calls: f64) -> LimitDemand {
    let scope = LimitScope { destination: DestinationId(7), route: None };
    let demand = Demand { scope, limit: LIMIT, calls_wanted: calls, calls_made: 0, rejected: 0, failed: 0 };
    LimitDemand { limit: LimitId::of(7, None), demand }
}

/// Starts three senders; returns the address of each and the inputs of the engine of each.
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

/// Acts as the engine of one sender until all three senders have received a capacity below their demand. Returns the
/// first such capacity of this sender, in calls per unit of demand.
async fn run_engine(
    inputs: &mut mpsc::Receiver<Input>,
    calls_wanted: f64,
    limited_senders: &Cell<usize>,
) -> f64 {
    let mut first_capacity = None;
    // A sender must not stop earlier, because its demand would be missing in the sums of the other senders.
    while limited_senders.get() < 3 {
        match timeout(Duration::from_secs(20), inputs.recv()).await.expect("in time").expect("an input") {
            Input::ReportActivity(reply) => {
                let activity =
                    ActivityReport { demands: vec![limit_demand(calls_wanted)], ..ActivityReport::default() };
                let _ = reply.send(activity);
            }
            Input::CapacityUpdates(updates) => {
                if let Some(update) = updates.first().filter(|update| update.rate_per_demand < 0.9)
                    && first_capacity.replace(update.rate_per_demand).is_none()
                {
                    limited_senders.set(limited_senders.get() + 1);
                }
            }
            other => panic!("input is {other:?}: must be an activity query or capacity updates"),
        }
    }
    first_capacity.expect("a capacity")
}

/// The total demand is two and a half times the limit; the demand of each sender is below the limit. Malformed
/// datagrams of an unknown sender have no effect.
#[tokio::test]
async fn three_senders_divide_a_limit_by_exchanging_demands() {
    let test = async {
        let mut senders = start_three_senders().await;
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        for (addr, _) in &senders {
            for malformed in [&b""[..], b"a", &[0x61; 256], &[0x62; 300]] {
                unknown_sender.send_to(malformed, addr).await.expect("sent");
            }
        }
        let [a, b, c] = &mut senders[..] else { panic!("expected three senders") };
        let limited_senders = Cell::new(0);
        let capacities = tokio::join!(
            run_engine(&mut a.1, 50.0, &limited_senders),
            run_engine(&mut b.1, 50.0, &limited_senders),
            run_engine(&mut c.1, 50.0, &limited_senders)
        );
        for capacity in [capacities.0, capacities.1, capacities.2] {
            // The first demand sums may not include all three senders; encoded loads are accurate to a twentieth.
            assert!((LIMIT / 150.0 * 0.85..=LIMIT / 50.0 * 0.9).contains(&capacity), "{capacity}");
        }
    };
    LocalSet::new().run_until(test).await;
}
