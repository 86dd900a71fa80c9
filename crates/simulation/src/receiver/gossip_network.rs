//! The network between the senders, which delays their datagrams and loses some.

use rudderspindle_gossip::OutgoingDatagram;
use rudderspindle_policy::interface::Millis;

use super::TICK;
use super::clock::wall_clock;
use super::scenario::GossipNetwork;
use super::simulated_sender::SimulatedSender;
use crate::SeededRng;

/// Minimum delay of a datagram, ms.
const MIN_DELAY: Millis = 1.5;
/// Maximum delay of a datagram, ms.
const MAX_DELAY: Millis = 30.0;

/// The protocol of a datagram.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Protocol {
    Demand,
    Permits,
}

/// A datagram in transit.
struct Datagram {
    arrives_at: Millis,
    protocol: Protocol,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The network with its datagrams in transit.
pub(super) struct SimulatedNetwork {
    rng: SeededRng,
    in_transit: Vec<Datagram>,
}

impl SimulatedNetwork {
    /// A network without datagrams in transit.
    pub fn new(seed: u64) -> Self {
        Self { rng: SeededRng::new(seed), in_transit: Vec::new() }
    }

    /// Delivers the datagrams that have arrived, then sends those that are due; the number of bytes delivered.
    pub fn step(&mut self, network: &GossipNetwork, now: Millis, senders: &mut [SimulatedSender]) -> usize {
        let delivered_bytes = self.deliver(now, senders);
        for (index, sender) in senders.iter_mut().enumerate().filter(|(_, sender)| sender.is_running) {
            let wall = wall_clock(now, sender.clock_ahead);
            let demand = sender.demand_datagrams(wall, TICK as u64);
            self.send(network, now, index, Protocol::Demand, demand);
            let permits = sender.permit_datagrams(wall, TICK as u64);
            self.send(network, now, index, Protocol::Permits, permits);
        }
        delivered_bytes
    }

    fn deliver(&mut self, now: Millis, senders: &mut [SimulatedSender]) -> usize {
        let arrived: Vec<_> = self.in_transit.extract_if(.., |datagram| datagram.arrives_at <= now).collect();
        let mut delivered_bytes = 0;
        for Datagram { protocol, from, to, bytes, .. } in arrived {
            let recipient = &mut senders[to];
            if !recipient.is_running {
                continue;
            }
            delivered_bytes += bytes.len();
            let wall = wall_clock(now, recipient.clock_ahead);
            // A datagram that arrives too late is an error without effect, as in the sender's process.
            match protocol {
                Protocol::Demand => {
                    let _ = recipient.demand_exchange.receive(wall, from, &bytes);
                }
                Protocol::Permits => {
                    let _ = recipient.receive_permits(wall, from, &bytes);
                }
            }
        }
        delivered_bytes
    }

    fn send(
        &mut self,
        network: &GossipNetwork,
        now: Millis,
        from: usize,
        protocol: Protocol,
        datagrams: Vec<OutgoingDatagram>,
    ) {
        for OutgoingDatagram { to, bytes } in datagrams {
            let is_lost = network.partition.contains(&now) || self.rng.unit() < network.loss;
            let arrives_at = now + MIN_DELAY + (MAX_DELAY - MIN_DELAY) * self.rng.unit();
            if !is_lost {
                self.in_transit.push(Datagram { arrives_at, protocol, from, to, bytes });
            }
        }
    }
}
