//! Selects the aggregators of a round: the first sender in an order that is the same at every sender, and the next ones
//! if that sender is unresponsive.

use std::collections::BTreeMap;

use crate::peer_selection::RankedSender;

/// Maximum number of aggregators of one round.
pub(crate) const MAX_AGGREGATORS: usize = 3;
/// Number of rounds for which an aggregator counts as unresponsive after it sent no sums.
const UNRESPONSIVE_ROUNDS: u64 = 40;

/// One sender's selection of aggregators.
#[derive(Debug)]
pub(crate) struct AggregatorSelection {
    sender_count: usize,
    /// The aggregators selected for the last round.
    last_selected: Vec<usize>,
    /// Number of consecutive rounds without sums.
    missed_rounds: usize,
    /// The unresponsive senders, each with the last round in which it sent no sums.
    unresponsive_since: BTreeMap<usize, u64>,
}

impl AggregatorSelection {
    /// A selection for a fleet of `sender_count` senders, all of which count as responsive.
    pub fn new(sender_count: usize) -> Self {
        Self {
            sender_count,
            last_selected: Vec::new(),
            missed_rounds: 0,
            unresponsive_since: BTreeMap::new(),
        }
    }

    /// The aggregators to which `own_number` reports in a round, in the order of that round.
    ///
    /// Each consecutive round without sums (`has_recent_sums` is false) adds one aggregator. If an aggregator is
    /// unresponsive, the next sender in the order is selected in addition.
    pub fn select(&mut self, round: u64, own_number: usize, has_recent_sums: bool) -> Vec<usize> {
        self.record_responses(round, own_number, has_recent_sums);
        let mut selected = first_in_order(round, self.sender_count, MAX_AGGREGATORS);
        let first_responsive =
            selected.iter().position(|sender| !self.unresponsive_since.contains_key(sender));
        let responsive_count = first_responsive.map_or(selected.len(), |position| position + 1);
        selected.truncate(responsive_count.max(self.missed_rounds + 1));
        self.last_selected.clone_from(&selected);
        selected
    }

    /// Marks the other aggregators of the last round as unresponsive if no sums were received.
    fn record_responses(&mut self, round: u64, own_number: usize, has_recent_sums: bool) {
        self.missed_rounds = if has_recent_sums { 0 } else { self.missed_rounds.saturating_add(1) };
        if self.missed_rounds > 0 {
            let others = self.last_selected.iter().filter(|sender| **sender != own_number);
            self.unresponsive_since.extend(others.map(|sender| (*sender, round)));
        }
        self.unresponsive_since.retain(|_, since| *since + UNRESPONSIVE_ROUNDS > round);
    }

    /// Records that a message of a sender was received, so that it counts as responsive.
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
fn first_in_order(round: u64, sender_count: usize, count: usize) -> Vec<usize> {
    let mut order: Vec<RankedSender> =
        (0..sender_count).map(|sender| RankedSender::new(round, sender)).collect();
    let count = count.min(order.len());
    if count == 0 {
        return Vec::new();
    }
    order.select_nth_unstable(count - 1);
    order.truncate(count);
    order.sort_unstable();
    order.into_iter().map(|ranked| ranked.sender).collect()
}
