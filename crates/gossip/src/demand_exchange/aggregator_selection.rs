//! Selects the aggregators of a round: the first sender in an order that is the same at every sender, and the next ones
//! if that sender is unresponsive.

use std::collections::BTreeMap;

use crate::peer_selection::RankedSender;

/// Maximum number of aggregators of one round.
pub(crate) const MAX_AGGREGATORS: usize = 3;
/// Number of rounds for which an aggregator counts as unresponsive after a round for which it sent no sums.
const UNRESPONSIVE_ROUNDS: u64 = 40;

/// One sender's selection of aggregators.
#[derive(Debug)]
pub(crate) struct AggregatorSelection {
    sender_count: usize,
    /// The aggregators selected for the last round.
    last_selected: Vec<usize>,
    /// Number of consecutive rounds for which no sums were received.
    missed_rounds: usize,
    /// The unresponsive senders, each with the round in which it was last found unresponsive.
    unresponsive_senders: BTreeMap<usize, u64>,
}

impl AggregatorSelection {
    /// A selection for a fleet of `sender_count` senders, all of which count as responsive.
    pub fn new(sender_count: usize) -> Self {
        Self {
            sender_count,
            last_selected: Vec::new(),
            missed_rounds: 0,
            unresponsive_senders: BTreeMap::new(),
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
            selected.iter().position(|sender| !self.unresponsive_senders.contains_key(sender));
        let responsive_count = first_responsive.map_or(selected.len(), |position| position + 1);
        selected.truncate(responsive_count.max(self.missed_rounds + 1));
        self.last_selected.clone_from(&selected);
        selected
    }

    /// Marks the other aggregators of the last round as unresponsive if no sums were received.
    fn record_responses(&mut self, round: u64, own_number: usize, has_recent_sums: bool) {
        self.missed_rounds = if has_recent_sums { 0 } else { self.missed_rounds.saturating_add(1) };
        if self.missed_rounds > 0 {
            let other_aggregators = self.last_selected.iter().filter(|sender| **sender != own_number);
            self.unresponsive_senders.extend(other_aggregators.map(|sender| (*sender, round)));
        }
        self.unresponsive_senders.retain(|_, last_round| *last_round + UNRESPONSIVE_ROUNDS > round);
    }

    /// Records that a message of a sender was received, so that it counts as responsive.
    pub fn record_alive(&mut self, sender: usize) {
        self.unresponsive_senders.remove(&sender);
    }

    /// Number of unresponsive senders. Tests check that it is bounded.
    #[cfg(test)]
    pub fn unresponsive_count(&self) -> usize {
        self.unresponsive_senders.len()
    }

    /// Number of aggregators of the last round. Tests check that it is bounded.
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
