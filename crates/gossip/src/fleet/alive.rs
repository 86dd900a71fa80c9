//! Who is alive, as far as sums tell: whom of those drawn they were of.

use std::collections::{BTreeMap, VecDeque};

use super::aggregators::MOST_ASKED;

/// By the sums of the last so many rounds it is reckoned who is alive...
const ALIVE: u64 = 16;
/// ...and gone is whoever is missing as often as chance has it with less than this.
const GONE: f64 = 0.05;
/// Sums that are remembered for it.
pub(crate) const MOST_SUMS: usize = ALIVE as usize * MOST_ASKED;

/// Whom the sums of late were of.
#[derive(Debug)]
pub(crate) struct Alive {
    /// The senders that are drawn to tell of all, and their bits.
    drawn: BTreeMap<usize, u32>,
    /// By round.
    lately: VecDeque<(u64, u64)>,
}

impl Alive {
    pub fn new(senders: usize) -> Self {
        // Not by their numbers: those of a hall may follow one another, or come in turns.
        let mut order: Vec<usize> = (0..senders).collect();
        order.sort_by_key(|n| (crc32fast::hash(&(*n as u64).to_le_bytes()), *n));
        Self { drawn: order.into_iter().zip(0..u64::BITS).collect(), lately: VecDeque::new() }
    }

    /// The bits of these senders.
    pub fn bits(&self, of: &[usize]) -> u64 {
        of.iter().fold(0, |bits, n| bits | self.drawn.get(n).map_or(0, |bit| 1 << bit))
    }

    /// Sums of a round were of these; what of it can be: a bit that nobody has tells nothing.
    pub fn saw(&mut self, round: u64, drawn: u64) -> u64 {
        let drawn = self.drawn.values().fold(0, |known, bit| known | (drawn & (1 << bit)));
        self.lately.push_back((round, drawn));
        while self.lately.front().is_some_and(|(of, _)| of + ALIVE <= round) || self.lately.len() > MOST_SUMS
        {
            self.lately.pop_front();
        }
        drawn
    }

    /// How many senders there are for each one that sums are of, by those drawn. Of whoever is missing in them the word
    /// was lost, if it is in others of late; but not if it is missing in more, one after another, than loss can explain:
    /// then it is gone.
    pub fn missing(&self, drawn: u64) -> f64 {
        let known = self.lately.iter().fold(0, |known, (_, drawn)| known | drawn).count_ones();
        let told: u32 = self.lately.iter().map(|(_, drawn)| drawn.count_ones()).sum();
        let lost = 1.0 - f64::from(told) / f64::from(known.max(1)) / self.lately.len().max(1) as f64;
        let in_a_row = if lost > 0.0 { (GONE.ln() / lost.ln()).ceil() as usize } else { 1 };
        let alive = self.lately.iter().rev().take(in_a_row).fold(drawn, |alive, (_, drawn)| alive | drawn);
        f64::from(alive.count_ones().max(1)) / f64::from(drawn.count_ones().max(1))
    }

    /// How many sums it keeps in mind.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.lately.len()
    }
}
