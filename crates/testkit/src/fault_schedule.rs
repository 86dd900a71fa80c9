//! Draws the faults of datagram links from a seed, without sockets or a clock.
//!
//! Invariant: every datagram takes the same number of draws for any faults, and every link has its own draws, so that the
//! faults of the n-th datagram of a link depend only on the seed and on the link's faults at that time.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::SeededRng;

#[cfg(test)]
mod tests;

/// Additional delay of a reordered datagram: longer than the gossip interval, so that the next datagram overtakes it.
pub const REORDER_DELAY: Duration = Duration::from_millis(300);

/// Faults of a datagram link. Shares are from 0 (never, as by default) to 1 (always).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share of datagrams that are lost.
    pub drop: f64,
    /// Delay, uniform in the range; its start, if the range is empty.
    pub delay: Range<Duration>,
    /// Share that is duplicated; each copy has its own delay.
    pub duplicate: f64,
    /// Share that is delayed by [`REORDER_DELAY`].
    pub reorder: f64,
    /// Share with one corrupted byte, the same in all copies.
    pub damage: f64,
    /// Time after which each datagram that is not lost is replayed.
    pub replay_after: Option<Duration>,
}

/// A copy of a datagram that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatagramCopy {
    /// Its delay.
    pub delay: Duration,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Draws the faults of the datagrams from one sender to another.
///
/// ```
/// # use rudderspindle_testkit::fault_schedule::{DatagramCopy, LinkFaultSampler, LinkFaults};
/// let mut link = LinkFaultSampler::new(7, 0, 1);
/// let faults = LinkFaults { duplicate: 1.0, ..LinkFaults::default() };
/// // Both copies arrive at once.
/// let copy = DatagramCopy { delay: Default::default(), bytes: b"datagram".to_vec() };
/// assert_eq!(link.sample(b"datagram", &faults), [copy.clone(), copy]);
/// ```
#[derive(Debug)]
pub struct LinkFaultSampler(SeededRng);

impl LinkFaultSampler {
    /// A sampler for the link between two senders, by their indices.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        // An odd multiplier keeps seeds distinct; indices of senders are below 2^16.
        Self(SeededRng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((from as u64) << 16 | to as u64)))
    }

    /// The copies of a datagram that arrive; none if it is lost.
    pub fn sample(&mut self, datagram: &[u8], faults: &LinkFaults) -> Vec<DatagramCopy> {
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
        let copy = |delay| DatagramCopy { delay: delay + reorder_delay, bytes: datagram.clone() };
        let mut copies = vec![copy(first)];
        copies.extend(is_duplicated.then(|| copy(second)));
        copies.extend(faults.replay_after.map(|after| copy(first + after)));
        copies
    }
}
