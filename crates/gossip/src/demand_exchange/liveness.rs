//! Estimates the number of live senders from the sampled senders that recent sums included.

use std::collections::VecDeque;

use super::aggregator_selection::MAX_AGGREGATORS;
use crate::peer_selection::PeerSample;

/// Number of rounds whose sums are considered.
const HISTORY_ROUNDS: u64 = 16;
/// A sender counts as down once the probability that its absence from the latest sums is message loss is below this.
const MAX_LOSS_PROBABILITY: f64 = 0.05;
/// Maximum number of observations that are kept.
pub(crate) const MAX_HISTORY: usize = HISTORY_ROUNDS as usize * MAX_AGGREGATORS;

/// The sampled senders that the sums of one round included.
#[derive(Debug)]
struct Observation {
    round: u64,
    included: u64,
}

/// The sampled senders that recent sums included.
#[derive(Debug)]
pub(crate) struct LivenessEstimate {
    sample: PeerSample,
    /// Oldest first.
    history: VecDeque<Observation>,
}

impl LivenessEstimate {
    /// An estimate for a fleet of `senders`, without observations.
    pub fn new(senders: usize) -> Self {
        Self { sample: PeerSample::new(senders), history: VecDeque::new() }
    }

    /// The bits of the sampled senders among these.
    pub fn sample_bits(&self, senders: &[usize]) -> u64 {
        self.sample.bits(senders.iter().copied())
    }

    /// Records which senders the sums of a round included. Returns the bits of sampled senders; other bits are ignored.
    pub fn observe(&mut self, round: u64, bits: u64) -> u64 {
        let included = bits & self.sample.all_bits();
        self.history.push_back(Observation { round, included });
        while self.history.len() > MAX_HISTORY || self.is_oldest_outdated(round) {
            self.history.pop_front();
        }
        included
    }

    fn is_oldest_outdated(&self, round: u64) -> bool {
        self.history.front().is_some_and(|oldest| oldest.round + HISTORY_ROUNDS <= round)
    }

    /// Estimated number of live senders for each sender that is included in the current sums.
    ///
    /// A sender that is missing in them but included in recent ones counts as alive, its report as lost, unless it is
    /// missing in more consecutive sums than loss can explain.
    pub fn alive_per_included(&self, included: u64) -> f64 {
        let latest = self.history.iter().rev().take(self.losses_in_a_row());
        let alive = latest.fold(included, |alive, observation| alive | observation.included);
        f64::from(alive.count_ones().max(1)) / f64::from(included.count_ones().max(1))
    }

    /// Number of consecutive sums in which message loss can explain that a sender is missing.
    fn losses_in_a_row(&self) -> usize {
        let known =
            self.history.iter().fold(0, |known, observation| known | observation.included).count_ones();
        let included: u32 = self.history.iter().map(|observation| observation.included.count_ones()).sum();
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
