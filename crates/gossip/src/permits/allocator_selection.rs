//! Which sender deals in a round, as far as this one knows who is there.

use std::collections::BTreeMap;

/// Somebody that was not heard for so many rounds may be gone.
const ALIVE: u64 = 8;
/// In every so manieth round all that are drawn may be asked, also those not heard of: parts that were cut off find
/// one another again.
const LOOK_ROUND: u64 = 4;

/// The senders that may deal: up to 64 are drawn, the same everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllocatorSelection {
    drawn: Vec<usize>,
    /// The last round in which somebody said that it had heard of it.
    heard: BTreeMap<usize, u64>,
}

impl AllocatorSelection {
    pub fn new(senders: usize) -> Self {
        // Not by their numbers: those of a hall may follow one another, or come in turns.
        let mut drawn: Vec<usize> = (0..senders).collect();
        drawn.sort_by_key(|n| (crc32fast::hash(&(*n as u64).to_le_bytes()), *n));
        drawn.truncate(u64::BITS as usize);
        Self { drawn, heard: BTreeMap::new() }
    }

    /// A sender's bit; none for those not drawn.
    pub fn bit(&self, sender: usize) -> u64 {
        self.drawn.iter().position(|n| *n == sender).map_or(0, |bit| 1 << bit)
    }

    /// These were heard in a round.
    pub fn heard(&mut self, round: u64, bits: u64) {
        for (_, &n) in self.drawn.iter().enumerate().filter(|(bit, _)| bits >> bit & 1 == 1) {
            let last = self.heard.entry(n).or_default();
            *last = round.max(*last);
        }
    }

    /// Who deals in a round, and whether it is known to be there: nothing is given up to anybody else.
    pub fn of(&mut self, round: u64) -> Option<(usize, bool)> {
        self.heard.retain(|_, last| *last + ALIVE > round && *last <= round);
        let rank =
            |n: &&usize| (crc32fast::hash(&[round.to_le_bytes(), (**n as u64).to_le_bytes()].concat()), **n);
        let known = |n: &&usize| self.heard.contains_key(n);
        let all = self.heard.is_empty()
            || (self.heard.len() < self.drawn.len() && round.is_multiple_of(LOOK_ROUND));
        let dealer = if all {
            self.drawn.iter().min_by_key(rank)
        } else {
            self.drawn.iter().filter(known).min_by_key(rank)
        };
        dealer.map(|n| (*n, self.heard.contains_key(n)))
    }
}
