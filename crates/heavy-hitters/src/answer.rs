//! What the one that adds up answers: sums over a window, named by who made them and when.
//!
//! Invariant: an answer is replaced by a better one and never added to another; so it may come twice, late or not at all.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::merged::Table;
use crate::wire::{LONGEST_BODY, length, packed};
use crate::{Key, PANES, Sums};

/// Bytes of a key.
const KEY: usize = size_of::<Key>();
/// Sums go no further: 63 bits, so that two of them can be added.
const MOST_SUM: u64 = 1 << 62;

/// What all that were heard were handed of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Which key.
    pub key: Key,
    /// At least so much.
    pub least: u64,
    /// At most so much more.
    pub spread: u64,
    /// Handed to so many senders at least.
    pub senders: u16,
}

/// The heaviest of all, and the most that any other key can have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heaviest {
    /// The heaviest first.
    pub sums: Vec<Sum>,
    /// The most that a key can have which is not among them.
    pub left_out: u64,
}

/// What the adder holds of the one that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Yours {
    /// Of this life.
    pub incarnation: u64,
    /// Of these panes, the newest is the lowest bit.
    pub held: u8,
    /// So much in all.
    pub total: u64,
}

/// Sums of a window of panes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The pane that was open when it was made; the window is of those before.
    pub pane: u64,
    /// Round of that pane.
    pub round: u8,
    /// What is held of the reader.
    pub yours: Yours,
    /// Of how many senders a whole count was heard, the newest pane first.
    pub heard: [u16; PANES as usize],
    /// Messages handed in, of all that were heard.
    pub total: u64,
    /// The heaviest streams.
    pub streams: Heaviest,
    /// Idempotency keys that were handed to the most senders.
    pub keys: Heaviest,
}

impl Answer {
    /// As much of these sums as fits a note, made while this pane and round are open, for nobody yet.
    #[must_use]
    pub fn of(pane: u64, round: u8, sums: &Sums) -> Self {
        let mut streams = sums.streams.sums.clone();
        streams.sort_unstable_by_key(|sum| (Reverse(sum.least), Reverse(sum.spread), sum.key));
        let mut keys = sums.keys.sums.clone();
        keys.sort_unstable_by_key(|sum| (Reverse(sum.senders), Reverse(sum.least), sum.key));
        // One sender alone says nothing of a client that comes again elsewhere.
        let several = keys.partition_point(|sum| sum.senders > 1);
        let size = |list: &[Sum]| -> Vec<usize> {
            let bytes = |s: &Sum| KEY + length(s.least) + length(s.spread) + length(s.senders.into());
            list.iter().map(bytes).collect()
        };
        let heard: usize = sums.heard.iter().map(|n| length((*n).into())).sum();
        // Kind of note, round, held, the lengths of two lists; the longest incarnation; four figures of sums, of which
        // those of what is left out can pass the total.
        let left_out = length(sums.total.max(sums.streams.left_out).max(sums.keys.left_out)) + 1;
        let head = 5 + length(u64::MAX) + length(pane) + heard + 4 * left_out;
        let room = LONGEST_BODY.saturating_sub(head);
        let (most_streams, most_keys) = packed(room, &size(&streams), &size(&keys[..several]));
        Self {
            pane,
            round,
            yours: Yours::default(),
            heard: sums.heard,
            total: sums.total,
            streams: Heaviest::first(streams, most_streams, &sums.streams, sums.total),
            keys: Heaviest::first(keys, most_keys, &sums.keys, sums.total),
        }
    }

    /// Whether its figures can be true together.
    pub(crate) fn is_sound(&self) -> bool {
        let sum = |s: &Sum| s.least <= self.total && s.spread <= MOST_SUM;
        let within = |list: &Heaviest| list.left_out <= MOST_SUM && list.sums.iter().all(sum);
        // Each is at most the total of at most 2^62, and a note holds few of them.
        let least = self.streams.sums.iter().fold(0_u64, |all, s| all.saturating_add(s.least));
        self.total <= MOST_SUM && within(&self.streams) && within(&self.keys) && least <= self.total
    }

    /// How much was heard for it: a better one is newer, or of more.
    pub(crate) fn worth(&self) -> (u64, u64, u8) {
        (self.pane, self.heard.iter().map(|n| u64::from(*n)).sum(), self.round)
    }
}

impl Heaviest {
    fn first(mut sums: Vec<Sum>, count: usize, table: &Table, total: u64) -> Self {
        let most = |sum: &Sum| sum.least.saturating_add(sum.spread);
        let left_out = sums[count..].iter().map(most).fold(table.left_out, u64::max).min(total);
        sums.truncate(count);
        for sum in &mut sums {
            sum.spread = sum.spread.min(total.saturating_sub(sum.least));
        }
        Self { sums, left_out }
    }
}
