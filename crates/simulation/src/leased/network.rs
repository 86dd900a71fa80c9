//! A network that delays and loses datagrams.

use crate::partner::Draw;

/// Minimum and maximum time that a datagram takes, ms.
const MIN_DELAY: f64 = 1.5;
const MAX_DELAY: f64 = 30.0;

/// A datagram to send.
pub(super) struct Outgoing<D> {
    pub to: usize,
    pub datagram: D,
}

/// A datagram under way, or at its recipient.
pub(super) struct Delivery<D> {
    arrives_at: u64,
    pub from: usize,
    pub to: usize,
    pub datagram: D,
}

/// The datagrams under way.
pub(super) struct LossyNetwork<D> {
    rng: Draw,
    /// Share of the datagrams that are lost, from 0 to 1.
    lost: f64,
    under_way: Vec<Delivery<D>>,
}

impl<D> LossyNetwork<D> {
    /// A network without any datagram under way.
    pub fn new(lost: f64, seed: u64) -> Self {
        Self { rng: Draw::new(seed), lost, under_way: Vec::new() }
    }

    /// Sends a datagram, which may be lost.
    pub fn send(&mut self, wall: u64, from: usize, outgoing: Outgoing<D>) {
        let delay = MIN_DELAY + (MAX_DELAY - MIN_DELAY) * self.rng.unit();
        if self.rng.unit() >= self.lost {
            let Outgoing { to, datagram } = outgoing;
            self.under_way.push(Delivery { arrives_at: wall + delay as u64, from, to, datagram });
        }
    }

    /// The datagrams that have arrived by now, in the order in which they were sent.
    pub fn arrived(&mut self, wall: u64) -> Vec<Delivery<D>> {
        self.under_way.extract_if(.., |delivery| delivery.arrives_at <= wall).collect()
    }
}
