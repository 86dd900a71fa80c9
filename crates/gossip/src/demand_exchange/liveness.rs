//! Estimates which fraction of the live senders is included in sums. The estimate is based on a sample of the fleet's
//! senders, and on which of them recent sums included.

use std::collections::VecDeque;

use super::aggregator_selection::MAX_AGGREGATORS;
use crate::peer_selection::PeerSample;

/// Number of rounds for which observations are stored.
const HISTORY_ROUNDS: u64 = 16;
/// A sender that is missing in the latest sums counts as down once the probability that this is due to message loss alone
/// is below this value.
const MAX_LOSS_PROBABILITY: f64 = 0.05;
/// Maximum number of stored observations.
pub(crate) const MAX_HISTORY: usize = HISTORY_ROUNDS as usize * MAX_AGGREGATORS;

/// The sampled senders that the sums of one round included.
#[derive(Debug)]
struct Observation {
    round: u64,
    included_bits: u64,
}

/// Estimates the number of live senders from the recent observations.
#[derive(Debug)]
pub(crate) struct LivenessEstimate {
    sample: PeerSample,
    /// Observations, oldest first.
    history: VecDeque<Observation>,
}

impl LivenessEstimate {
    /// An estimate for a fleet of `sender_count` senders, without observations.
    pub fn new(sender_count: usize) -> Self {
        Self { sample: PeerSample::new(sender_count), history: VecDeque::new() }
    }

    /// The bits of the sampled senders among `senders`.
    pub fn sample_bits(&self, senders: &[usize]) -> u64 {
        self.sample.bits(senders.iter().copied())
    }

    /// Records the bits of the sampled senders that the sums of a round included. Bits that belong to no sender are ignored;
    /// the others are returned.
    pub fn observe(&mut self, round: u64, bits: u64) -> u64 {
        let included_bits = bits & self.sample.all_bits();
        self.history.push_back(Observation { round, included_bits });
        while self.history.len() > MAX_HISTORY || self.is_oldest_outdated(round) {
            self.history.pop_front();
        }
        included_bits
    }

    /// Whether the oldest observation is at least [`HISTORY_ROUNDS`] older than `round`.
    fn is_oldest_outdated(&self, round: u64) -> bool {
        self.history.front().is_some_and(|oldest| oldest.round + HISTORY_ROUNDS <= round)
    }

    /// Estimated number of live senders divided by the number of senders that the current sums include.
    ///
    /// If a sender is missing in the current sums but included in recent ones, it counts as alive and its report as
    /// lost, unless it is missing in more consecutive sums than message loss can explain.
    pub fn live_per_included(&self, included_bits: u64) -> f64 {
        let latest = self.history.iter().rev().take(self.max_consecutive_losses());
        let alive_bits =
            latest.fold(included_bits, |alive_bits, observation| alive_bits | observation.included_bits);
        f64::from(alive_bits.count_ones().max(1)) / f64::from(included_bits.count_ones().max(1))
    }

    /// Number of consecutive sums in which a sender may be missing because of message loss alone.
    fn max_consecutive_losses(&self) -> usize {
        let ever_included =
            self.history.iter().fold(0, |bits, observation| bits | observation.included_bits).count_ones();
        let total_included: u32 =
            self.history.iter().map(|observation| observation.included_bits.count_ones()).sum();
        let loss_rate = 1.0
            - f64::from(total_included) / f64::from(ever_included.max(1)) / self.history.len().max(1) as f64;
        if loss_rate > 0.0 { (MAX_LOSS_PROBABILITY.ln() / loss_rate.ln()).ceil() as usize } else { 1 }
    }

    /// Number of stored observations. Tests check that it is bounded.
    #[cfg(test)]
    pub fn observation_count(&self) -> usize {
        self.history.len()
    }
}
