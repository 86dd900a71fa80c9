//! Who adds up a round, and who of them answers.

use std::collections::BTreeMap;

/// Senders that are asked to add up one round, at most.
pub(crate) const MOST_ASKED: usize = 3;
/// For so many rounds somebody who has not answered is not asked alone.
const SILENT: u64 = 40;

/// The senders that one sender asks.
#[derive(Debug)]
pub(crate) struct Aggregators {
    senders: usize,
    /// Who was asked in the last round.
    asked: Vec<usize>,
    /// Rounds in a row that brought no sums.
    missed: usize,
    /// Who did not answer, and in which round.
    silent: BTreeMap<usize, u64>,
}

impl Aggregators {
    pub fn new(senders: usize) -> Self {
        Self { senders, asked: Vec::new(), missed: 0, silent: BTreeMap::new() }
    }

    /// Whom sender `me` asks in a round: the first of an order that is drawn anew for each round, the same at every
    /// sender. Whoever is known to be silent, or came after a round without sums (`fresh` says whether any have come
    /// of late), is not relied upon alone.
    pub fn ask(&mut self, round: u64, me: usize, fresh: bool) -> Vec<usize> {
        self.missed = if fresh { 0 } else { self.missed.saturating_add(1) };
        if self.missed > 0 {
            self.silent.extend(self.asked.iter().filter(|&&n| n != me).map(|&n| (n, round)));
        }
        self.silent.retain(|_, since| *since + SILENT > round);
        let mut order = first(round, self.senders, MOST_ASKED);
        let sound = order.iter().position(|n| !self.silent.contains_key(n)).unwrap_or(order.len());
        order.truncate((sound + 1).max(self.missed + 1));
        self.asked.clone_from(&order);
        order
    }

    /// It is there.
    pub fn answered(&mut self, from: usize) {
        self.silent.remove(&from);
    }

    /// How many it keeps in mind: those silent, and those asked.
    #[cfg(test)]
    pub fn len(&self) -> (usize, usize) {
        (self.silent.len(), self.asked.len())
    }
}

/// The first so many of the order of all senders that is drawn for a round.
fn first(round: u64, senders: usize, most: usize) -> Vec<usize> {
    let rank = |n: &usize| crc32fast::hash(&[round.to_le_bytes(), (*n as u64).to_le_bytes()].concat());
    let mut order: Vec<(u32, usize)> = (0..senders).map(|n| (rank(&n), n)).collect();
    let most = most.min(order.len());
    if most == 0 {
        return Vec::new();
    }
    order.select_nth_unstable(most - 1);
    order.truncate(most);
    order.sort_unstable();
    order.into_iter().map(|(_, n)| n).collect()
}
