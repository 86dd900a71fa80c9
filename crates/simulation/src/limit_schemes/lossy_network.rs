//! A network that delays and loses datagrams.

use crate::SeededRng;

/// Minimum delay of a datagram, ms.
const MIN_DELAY: f64 = 1.5;
/// Maximum delay of a datagram, ms.
const MAX_DELAY: f64 = 30.0;

/// A datagram to send.
pub(super) struct Outgoing<D> {
    pub to: usize,
    pub datagram: D,
}

/// A datagram in transit or delivered.
pub(super) struct Delivery<D> {
    arrives_at: u64,
    pub from: usize,
    pub to: usize,
    pub datagram: D,
}

/// A network with its datagrams in transit.
pub(super) struct LossyNetwork<D> {
    rng: SeededRng,
    /// Share of the datagrams that are lost, from 0 to 1.
    loss: f64,
    in_transit: Vec<Delivery<D>>,
}

impl<D> LossyNetwork<D> {
    /// A network without datagrams in transit.
    pub fn new(loss: f64, seed: u64) -> Self {
        Self { rng: SeededRng::new(seed), loss, in_transit: Vec::new() }
    }

    /// Sends a datagram, which may be lost.
    pub fn send(&mut self, wall: u64, from: usize, outgoing: Outgoing<D>) {
        let delay = MIN_DELAY + (MAX_DELAY - MIN_DELAY) * self.rng.unit();
        if self.rng.unit() >= self.loss {
            let Outgoing { to, datagram } = outgoing;
            self.in_transit.push(Delivery { arrives_at: wall + delay as u64, from, to, datagram });
        }
    }

    /// The datagrams that have arrived by now, in the order in which they were sent.
    pub fn arrived(&mut self, wall: u64) -> Vec<Delivery<D>> {
        self.in_transit.extract_if(.., |delivery| delivery.arrives_at <= wall).collect()
    }
}
