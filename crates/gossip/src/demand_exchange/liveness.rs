//! Estimates the fraction of live senders that sums include, from a sample of the senders in recent sums.

use std::collections::VecDeque;

use super::aggregator_selection::MAX_AGGREGATORS;
use crate::peer_selection::PeerSample;

/// Number of rounds whose sums are considered.
const HISTORY_ROUNDS: u64 = 16;
/// A sender counts as down once the probability that it is missing in the latest sums because of message loss is below
/// this.
const MAX_LOSS_PROBABILITY: f64 = 0.05;
/// Maximum number of stored observations.
pub(crate) const MAX_HISTORY: usize = HISTORY_ROUNDS as usize * MAX_AGGREGATORS;

/// The sampled senders that the sums of one round included.
#[derive(Debug)]
struct Observation {
    round: u64,
    included_bits: u64,
}

/// The estimate, and the recent observations on which it is based.
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

    /// The bits of those of these senders that are sampled.
    pub fn sample_bits(&self, senders: &[usize]) -> u64 {
        self.sample.bits(senders.iter().copied())
    }

    /// Records the sampled senders that the sums of a round included. Returns their bits without those that belong to
    /// no sender.
    pub fn observe(&mut self, round: u64, bits: u64) -> u64 {
        let included_bits = bits & self.sample.all_bits();
        self.history.push_back(Observation { round, included_bits });
        while self.history.len() > MAX_HISTORY || self.is_oldest_outdated(round) {
            self.history.pop_front();
        }
        included_bits
    }

    fn is_oldest_outdated(&self, round: u64) -> bool {
        self.history.front().is_some_and(|oldest| oldest.round + HISTORY_ROUNDS <= round)
    }

    /// Estimated number of live senders divided by the number of senders that the current sums include.
    ///
    /// If a sender is missing in the current sums but included in recent ones, it counts as alive and its report as
    /// lost, unless it is missing in more consecutive sums than message loss can explain.
    pub fn live_per_included(&self, included_bits: u64) -> f64 {
        let latest = self.history.iter().rev().take(self.max_consecutive_losses());
        let alive = latest.fold(included_bits, |alive, observation| alive | observation.included_bits);
        f64::from(alive.count_ones().max(1)) / f64::from(included_bits.count_ones().max(1))
    }

    /// Number of consecutive sums in which message loss can explain that a sender is missing.
    fn max_consecutive_losses(&self) -> usize {
        let known =
            self.history.iter().fold(0, |known, observation| known | observation.included_bits).count_ones();
        let included: u32 =
            self.history.iter().map(|observation| observation.included_bits.count_ones()).sum();
        let loss_rate =
            1.0 - f64::from(included) / f64::from(known.max(1)) / self.history.len().max(1) as f64;
        if loss_rate > 0.0 { (MAX_LOSS_PROBABILITY.ln() / loss_rate.ln()).ceil() as usize } else { 1 }
    }

    /// Number of observations, for the tests of its bound.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.history.len()
    }
}
