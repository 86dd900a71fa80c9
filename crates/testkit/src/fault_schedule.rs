//! Selects the faults of datagram links at random from a seed. The module uses neither sockets nor a clock.
//!
//! Invariant: the number of random draws per datagram is the same whichever faults are set, and every link has its own
//! generator. The faults of the n-th datagram of a link therefore depend only on the seed, the link and the faults set at
//! that time.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::SeededRng;

#[cfg(test)]
mod tests;

/// Additional delay of a reordered datagram, longer than the gossip interval so that the next datagram overtakes it.
pub const REORDER_DELAY: Duration = Duration::from_millis(300);

/// Faults of a datagram link. Shares are from 0 (no datagram, the default) to 1 (every datagram).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share of datagrams that are lost.
    pub drop: f64,
    /// Delay of each datagram, uniformly distributed in the range; the start of the range if the range is empty.
    pub delay: Range<Duration>,
    /// Share of datagrams that are duplicated. Each copy has its own delay.
    pub duplicate: f64,
    /// Share of datagrams that are delayed by an additional [`REORDER_DELAY`].
    pub reorder: f64,
    /// Share of datagrams with one corrupted byte, which is the same in all copies.
    pub damage: f64,
    /// Time between the delivery of the first copy of a datagram and its single replay; `None` for no replays. Lost
    /// datagrams are not replayed.
    pub replay_after: Option<Duration>,
}

/// One copy of a datagram that is not lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatagramCopy {
    /// Time after which the copy is delivered.
    pub delay: Duration,
    /// Content of the copy, possibly damaged.
    pub bytes: Vec<u8>,
}

/// Selects at random the faults of the datagrams from one sender to another.
///
/// ```
/// # use rudderspindle_testkit::fault_schedule::{DatagramCopy, LinkFaultSampler, LinkFaults};
/// let mut link = LinkFaultSampler::new(7, 0, 1);
/// let faults = LinkFaults { duplicate: 1.0, ..LinkFaults::default() };
/// // Both copies are delivered without a delay.
/// let copy = DatagramCopy { delay: Default::default(), bytes: b"datagram".to_vec() };
/// assert_eq!(link.sample(b"datagram", &faults), [copy.clone(), copy]);
/// ```
#[derive(Debug)]
pub struct LinkFaultSampler(SeededRng);

impl LinkFaultSampler {
    /// Creates the sampler of the link from one sender to another, which are given by their indices.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        // The odd multiplier maps distinct seeds to distinct values. Indices of senders are below 2^16.
        Self(SeededRng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((from as u64) << 16 | to as u64)))
    }

    /// Returns the copies of a datagram that are delivered; none if the datagram is lost.
    pub fn sample(&mut self, datagram: &[u8], faults: &LinkFaults) -> Vec<DatagramCopy> {
        let rng = &mut self.0;
        let is_lost = rng.chance(faults.drop);
        let delay_width = faults.delay.end.saturating_sub(faults.delay.start);
        let mut delay = || faults.delay.start + delay_width.mul_f64(rng.unit());
        let first_delay = delay();
        let second_delay = delay();
        let is_duplicated = rng.chance(faults.duplicate);
        let reorder_delay = if rng.chance(faults.reorder) { REORDER_DELAY } else { Duration::ZERO };
        let is_damaged = rng.chance(faults.damage);
        let damaged_index = rng.integer(0, datagram.len().max(1) as u64) as usize;
        let flipped_bits = rng.integer(1, 256) as u8;
        if is_lost {
            return Vec::new();
        }
        let mut datagram = datagram.to_vec();
        if let Some(byte) = datagram.get_mut(damaged_index).filter(|_| is_damaged) {
            *byte ^= flipped_bits;
        }
        let copy = |delay| DatagramCopy { delay: delay + reorder_delay, bytes: datagram.clone() };
        let mut copies = vec![copy(first_delay)];
        copies.extend(is_duplicated.then(|| copy(second_delay)));
        copies.extend(faults.replay_after.map(|after| copy(first_delay + after)));
        copies
    }
}
