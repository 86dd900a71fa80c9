//! Draws the faults of datagram links from a seed, without sockets or a clock.
//!
//! Invariant: every datagram takes the same number of draws, whatever the faults, and every link has draws of its own;
//! so what happens to a link's n-th datagram depends on the seed and on the link's faults at that moment alone.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::SeededRng;

#[cfg(test)]
mod tests;

/// Additional delay of a reordered datagram: a gossip interval of 250 ms and a little, so that the link's next datagram
/// overtakes it.
pub const REORDER_DELAY: Duration = Duration::from_millis(300);

/// Faults of a datagram link. Shares are from 0 (never, as by default) to 1 (always).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share of datagrams that are lost.
    pub drop: f64,
    /// Delay, uniform in the range; its start, if the range is empty.
    pub delay: Range<Duration>,
    /// Share that is duplicated, each copy with a delay of its own.
    pub duplicate: f64,
    /// Share that is delayed by [`REORDER_DELAY`].
    pub reorder: f64,
    /// Share with one corrupted byte, the same in all copies.
    pub damage: f64,
    /// Time after which each datagram that is not lost is replayed.
    pub replay_after: Option<Duration>,
}

/// Draws what happens to the datagrams from one sender to another, from a seed of the link's own.
///
/// ```
/// # use rudderspindle_testkit::fault_schedule::{LinkFaultSampler, LinkFaults};
/// let mut link = LinkFaultSampler::new(7, 0, 1);
/// let foul = LinkFaults { duplicate: 1.0, ..LinkFaults::default() };
/// // Both copies at once.
/// assert_eq!(link.sample(b"datagram", &foul), [(Default::default(), b"datagram".to_vec()), (Default::default(), b"datagram".to_vec())]);
/// ```
#[derive(Debug)]
pub struct LinkFaultSampler(SeededRng);

impl LinkFaultSampler {
    /// A sampler for the link between two senders, by their indices.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        // An odd multiplier keeps seeds apart; indices of senders are far under 2^16.
        Self(SeededRng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((from as u64) << 16 | to as u64)))
    }

    /// The copies of a datagram that arrive, and the delay of each; none if it is lost.
    pub fn sample(&mut self, datagram: &[u8], faults: &LinkFaults) -> Vec<(Duration, Vec<u8>)> {
        let rng = &mut self.0;
        let is_lost = rng.chance(faults.drop);
        let span = faults.delay.end.saturating_sub(faults.delay.start);
        let mut delay = || faults.delay.start + span.mul_f64(rng.unit());
        let first = delay();
        let second = delay();
        let is_duplicated = rng.chance(faults.duplicate);
        let reorder_delay = if rng.chance(faults.reorder) { REORDER_DELAY } else { Duration::ZERO };
        let is_damaged = rng.chance(faults.damage);
        let position = rng.integer(0, datagram.len().max(1) as u64) as usize;
        let change = rng.integer(1, 256) as u8;
        if is_lost {
            return Vec::new();
        }
        let mut datagram = datagram.to_vec();
        if let Some(byte) = datagram.get_mut(position).filter(|_| is_damaged) {
            *byte ^= change;
        }
        let mut copies = vec![(first + reorder_delay, datagram.clone())];
        copies.extend(is_duplicated.then(|| (second + reorder_delay, datagram.clone())));
        copies.extend(faults.replay_after.map(|after| (first + reorder_delay + after, datagram)));
        copies
    }
}
