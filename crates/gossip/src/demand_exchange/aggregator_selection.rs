//! Selects the aggregators of a round: the first sender of an order that is the same everywhere, and the next ones while
//! that one is unresponsive.

use std::collections::BTreeMap;

use crate::peer_selection::RankedSender;

/// Maximum number of aggregators of one round.
pub(crate) const MAX_AGGREGATORS: usize = 3;
/// Number of rounds for which an aggregator that did not answer counts as unresponsive.
const UNRESPONSIVE_ROUNDS: u64 = 40;

/// One sender's selection of aggregators.
#[derive(Debug)]
pub(crate) struct AggregatorSelection {
    senders: usize,
    /// The aggregators of the last round.
    last_selected: Vec<usize>,
    /// Number of consecutive rounds without sums.
    missed_rounds: usize,
    /// The unresponsive senders, each with the round in which it last failed to answer.
    unresponsive_since: BTreeMap<usize, u64>,
}

impl AggregatorSelection {
    /// A selection for a fleet of `senders`, all of them responsive.
    pub fn new(senders: usize) -> Self {
        Self { senders, last_selected: Vec::new(), missed_rounds: 0, unresponsive_since: BTreeMap::new() }
    }

    /// The aggregators to which `own_number` reports in a round, in the order of that round.
    ///
    /// Each consecutive round without sums (`has_recent_sums` is false) adds one more; an unresponsive one is followed by
    /// the next.
    pub fn select(&mut self, round: u64, own_number: usize, has_recent_sums: bool) -> Vec<usize> {
        self.record_answers(round, own_number, has_recent_sums);
        let mut selected = first_in_order(round, self.senders, MAX_AGGREGATORS);
        let first_answering =
            selected.iter().position(|sender| !self.unresponsive_since.contains_key(sender));
        let reliable_count = first_answering.map_or(selected.len(), |position| position + 1);
        selected.truncate(reliable_count.max(self.missed_rounds + 1));
        self.last_selected.clone_from(&selected);
        selected
    }

    fn record_answers(&mut self, round: u64, own_number: usize, has_recent_sums: bool) {
        self.missed_rounds = if has_recent_sums { 0 } else { self.missed_rounds.saturating_add(1) };
        if self.missed_rounds > 0 {
            let others = self.last_selected.iter().filter(|sender| **sender != own_number);
            self.unresponsive_since.extend(others.map(|sender| (*sender, round)));
        }
        self.unresponsive_since.retain(|_, since| *since + UNRESPONSIVE_ROUNDS > round);
    }

    /// Records that a message of a sender was received.
    pub fn record_alive(&mut self, sender: usize) {
        self.unresponsive_since.remove(&sender);
    }

    /// Number of unresponsive senders, for the tests of its bound.
    #[cfg(test)]
    pub fn unresponsive_count(&self) -> usize {
        self.unresponsive_since.len()
    }

    /// Number of aggregators of the last round, for the tests of its bound.
    #[cfg(test)]
    pub fn selected_count(&self) -> usize {
        self.last_selected.len()
    }
}

/// The first `count` senders in the order of a round.
fn first_in_order(round: u64, senders: usize, count: usize) -> Vec<usize> {
    let mut order: Vec<RankedSender> = (0..senders).map(|sender| RankedSender::new(round, sender)).collect();
    let count = count.min(order.len());
    if count == 0 {
        return Vec::new();
    }
    order.select_nth_unstable(count - 1);
    order.truncate(count);
    order.sort_unstable();
    order.into_iter().map(|ranked| ranked.sender).collect()
}
