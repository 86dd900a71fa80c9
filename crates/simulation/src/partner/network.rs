//! The fleet's network: delivers the senders' datagrams to one another, late, and loses some.

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::OutgoingDatagram;
use rudderspindle_policy::interface::Millis;

use super::TICK;
use super::draw::Draw;
use super::scene::Notes;
use super::sender::SimulatedSender;

/// Wall clock at the start of a scene.
const START_WALL: UnixMillis = UnixMillis(1_700_000_000_000);
/// Minimum and maximum time that a datagram takes, ms.
const MIN_DELAY: Millis = 1.5;
const MAX_DELAY: Millis = 30.0;

/// Which protocol a datagram belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Protocol {
    Demand,
    Permits,
}

/// A datagram under way.
struct Datagram {
    arrives_at: Millis,
    protocol: Protocol,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The network between the senders.
pub(super) struct Network {
    rng: Draw,
    under_way: Vec<Datagram>,
}

/// The wall clock that is `ahead` ms ahead.
pub(super) fn wall_clock(now: Millis, ahead: u64) -> UnixMillis {
    START_WALL + now as u64 + ahead
}

impl Network {
    /// A network without any datagram under way.
    pub fn new(seed: u64) -> Self {
        Self { rng: Draw::new(seed), under_way: Vec::new() }
    }

    /// Delivers what has arrived, then sends what is due; the number of bytes delivered.
    pub fn step(&mut self, notes: &Notes, now: Millis, senders: &mut [SimulatedSender]) -> usize {
        let delivered_bytes = self.deliver(now, senders);
        for (index, sender) in senders.iter_mut().enumerate().filter(|(_, sender)| sender.up) {
            let wall = wall_clock(now, sender.clock_ahead);
            let demand = sender.demand_datagrams(wall, TICK as u64);
            self.send(notes, now, index, Protocol::Demand, demand);
            let permits = sender.permit_datagrams(wall, TICK as u64);
            self.send(notes, now, index, Protocol::Permits, permits);
        }
        delivered_bytes
    }

    fn deliver(&mut self, now: Millis, senders: &mut [SimulatedSender]) -> usize {
        let arrived: Vec<_> = self.under_way.extract_if(.., |datagram| datagram.arrives_at <= now).collect();
        let mut delivered_bytes = 0;
        for Datagram { protocol, from, to, bytes, .. } in arrived {
            let receiver = &mut senders[to];
            if !receiver.up {
                continue;
            }
            delivered_bytes += bytes.len();
            let wall = wall_clock(now, receiver.clock_ahead);
            // A datagram that comes too late is an error and has no effect, as in the real fleet.
            match protocol {
                Protocol::Demand => {
                    let _ = receiver.demand_exchange.receive(wall, from, &bytes);
                }
                Protocol::Permits => {
                    let _ = receiver.receive_permits(wall, from, &bytes);
                }
            }
        }
        delivered_bytes
    }

    fn send(
        &mut self,
        notes: &Notes,
        now: Millis,
        from: usize,
        protocol: Protocol,
        datagrams: Vec<OutgoingDatagram>,
    ) {
        for OutgoingDatagram { to, bytes } in datagrams {
            let lost = notes.cut.contains(&now) || self.rng.unit() < notes.lost;
            let arrives_at = now + MIN_DELAY + (MAX_DELAY - MIN_DELAY) * self.rng.unit();
            if !lost {
                self.under_way.push(Datagram { arrives_at, protocol, from, to, bytes });
            }
        }
    }
}
