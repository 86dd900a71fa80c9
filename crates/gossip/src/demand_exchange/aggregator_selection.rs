//! Chooses the senders that aggregate a round: the first of an order that all senders share, and others while those are
//! silent.

use std::collections::BTreeMap;

use crate::peer_selection::rank_in_round;

/// Maximum number of senders that are asked to aggregate one round.
pub(crate) const MAX_AGGREGATORS: usize = 3;
/// Number of rounds for which an aggregator that did not answer is not relied on alone.
const SILENCE_ROUNDS: u64 = 40;

/// One sender's choice of aggregators.
#[derive(Debug)]
pub(crate) struct AggregatorSelection {
    senders: usize,
    /// Who was asked in the last round.
    last_asked: Vec<usize>,
    /// Number of rounds in a row that brought no sums.
    missed_rounds: usize,
    /// Who did not answer, and in which round.
    silent_since: BTreeMap<usize, u64>,
}

impl AggregatorSelection {
    /// A selection for a fleet of that many senders, none of which is known to be silent.
    pub fn new(senders: usize) -> Self {
        Self { senders, last_asked: Vec::new(), missed_rounds: 0, silent_since: BTreeMap::new() }
    }

    /// The senders that `own_number` reports to in a round, in the order drawn for it.
    ///
    /// `has_recent_sums` says whether sums have arrived lately: after each round without, one more sender is asked. One
    /// that is known to be silent is followed by the next one.
    pub fn select(&mut self, round: u64, own_number: usize, has_recent_sums: bool) -> Vec<usize> {
        self.record_answers(round, own_number, has_recent_sums);
        let mut selected = first_in_order(round, self.senders, MAX_AGGREGATORS);
        let first_answering = selected.iter().position(|sender| !self.silent_since.contains_key(sender));
        let reliable_count = first_answering.map_or(selected.len(), |position| position + 1);
        selected.truncate(reliable_count.max(self.missed_rounds + 1));
        self.last_asked.clone_from(&selected);
        selected
    }

    fn record_answers(&mut self, round: u64, own_number: usize, has_recent_sums: bool) {
        self.missed_rounds = if has_recent_sums { 0 } else { self.missed_rounds.saturating_add(1) };
        if self.missed_rounds > 0 {
            let others = self.last_asked.iter().filter(|sender| **sender != own_number);
            self.silent_since.extend(others.map(|sender| (*sender, round)));
        }
        self.silent_since.retain(|_, since| *since + SILENCE_ROUNDS > round);
    }

    /// Records that a message of a sender arrived.
    pub fn record_alive(&mut self, sender: usize) {
        self.silent_since.remove(&sender);
    }

    /// Number of senders that are known to be silent, for the tests of its bound.
    #[cfg(test)]
    pub fn silent_count(&self) -> usize {
        self.silent_since.len()
    }

    /// Number of senders asked in the last round, for the tests of its bound.
    #[cfg(test)]
    pub fn asked_count(&self) -> usize {
        self.last_asked.len()
    }
}

/// The first `count` senders in the order drawn for a round.
fn first_in_order(round: u64, senders: usize, count: usize) -> Vec<usize> {
    let mut order: Vec<(u32, usize)> = (0..senders).map(|sender| rank_in_round(round, sender)).collect();
    let count = count.min(order.len());
    if count == 0 {
        return Vec::new();
    }
    order.select_nth_unstable(count - 1);
    order.truncate(count);
    order.sort_unstable();
    order.into_iter().map(|(_, sender)| sender).collect()
}
