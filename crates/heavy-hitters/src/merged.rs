//! Digests of all senders in registers, and their sums (mergeable summaries, Agarwal et al. 2012).
//!
//! Invariant: a register holds the greatest it has heard of its sender and pane, by (incarnation, total). So order,
//! doubles, replays and late notes change nothing, and what is lost leaves a register empty: whoever reads the sums adds
//! for it what a sender can have been handed at most.
//!
//! Memory: registers of `senders * (PANES + 1)` at most, of what fits a note each (some 24 entries, 600 bytes): 1.1 MB
//! among 300. Emptied by the clock, pane by pane, and whole when this sender's term is over.

use std::collections::BTreeMap;

use crate::answer::Sum;
use crate::{Digest, HotError, Key, Listed, PANES};

/// What was heard of one sender and pane.
#[derive(Clone, Debug, Default)]
struct Register {
    incarnation: u64,
    whole: bool,
    total: u64,
    streams: Listed,
    keys: Listed,
}

/// Registers by sender and pane.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    senders: usize,
    /// What a sender can be handed in a pane.
    most: u64,
    registers: BTreeMap<usize, BTreeMap<u64, Register>>,
}

/// Sums of a window over all senders that were heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// Of how many senders a whole count was heard, the newest pane first.
    pub heard: [u16; PANES as usize],
    /// Messages handed in, of all that were heard.
    pub total: u64,
    /// Streams, by key.
    pub streams: Table,
    /// Idempotency keys.
    pub keys: Table,
}

/// Sums by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Of a key that is in no list, the most that those heard can have been handed.
    pub left_out: u64,
    /// The others.
    pub sums: Vec<Sum>,
}

impl Merged {
    /// Empty registers of so many senders, each of which can be handed so much in a pane at most.
    #[must_use]
    pub fn new(senders: usize, most: u64) -> Self {
        Self { senders, most, registers: BTreeMap::new() }
    }

    /// Takes in a digest of a sender while the pane `now` is open.
    ///
    /// # Errors
    ///
    /// [`HotError::Stranger`], [`HotError::Pane`], [`HotError::Beyond`] or [`HotError::Incarnation`]; nothing has
    /// changed then. A digest that says no more than is known changes nothing either, and is no error.
    pub fn take_in(&mut self, from: usize, digest: Digest, now: u64) -> Result<(), HotError> {
        if from >= self.senders {
            return Err(HotError::Stranger);
        }
        // The sender's clock may be a little ahead: what it has closed is still open here.
        if digest.pane > now || digest.pane + PANES < now {
            return Err(HotError::Pane);
        }
        // Or one sender could make up what outweighs all others.
        if digest.total > self.most {
            return Err(HotError::Beyond);
        }
        self.turn(now);
        let panes = self.registers.entry(from).or_default();
        let register = panes.entry(digest.pane).or_default();
        if digest.incarnation < register.incarnation {
            return Err(HotError::Incarnation);
        }
        if let Some(began) = digest.began {
            // Empty is the least that can be said of a pane: whatever a life has told of it counts more.
            let empty = Register { whole: true, ..Register::default() };
            let first = digest.pane.saturating_sub(u64::from(began));
            for before in now.saturating_sub(PANES)..first {
                let register = panes.entry(before).or_default();
                if (register.incarnation, register.total) == (0, 0) {
                    *register = empty.clone();
                }
            }
        }
        let register = panes.entry(digest.pane).or_default();
        let known = (register.incarnation, register.total, register.whole);
        if (digest.incarnation, digest.total, digest.whole) > known {
            let Digest { incarnation, whole, total, streams, keys, .. } = digest;
            *register = Register { incarnation, whole, total, streams, keys };
        }
        Ok(())
    }

    /// Forgets what lies outside the window before the pane `now`.
    pub fn turn(&mut self, now: u64) {
        self.registers.retain(|_, panes| {
            panes.retain(|pane, _| *pane <= now && *pane + PANES >= now);
            !panes.is_empty()
        });
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.registers.clear();
    }

    /// Of which panes before `now` there are registers of this life of a sender (the newest is the lowest bit), and the
    /// sum of their totals.
    #[must_use]
    pub fn held(&self, from: usize, incarnation: u64, now: u64) -> (u8, u64) {
        let panes = self.registers.get(&from).into_iter().flatten();
        let own = panes.filter(|(pane, register)| register.incarnation == incarnation && **pane < now);
        own.filter(|(pane, _)| **pane + PANES >= now).fold((0, 0), |(bits, total), (pane, register)| {
            (bits | 1 << (now - 1 - pane), total + register.total)
        })
    }

    /// How many registers there are.
    #[must_use]
    pub fn registers(&self) -> usize {
        self.registers.values().map(BTreeMap::len).sum()
    }

    /// Sums over the window of panes before `now`.
    #[must_use]
    pub fn sums(&self, now: u64) -> Sums {
        let mut sums = Sums::default();
        let (mut streams, mut keys) = (Adding::default(), Adding::default());
        for (sender, panes) in &self.registers {
            for (pane, register) in panes.range(now.saturating_sub(PANES)..now) {
                if register.whole {
                    sums.heard[(now - 1 - pane) as usize] += 1;
                }
                sums.total += register.total;
                streams.add(*sender, &register.streams);
                keys.add(*sender, &register.keys);
            }
        }
        (sums.streams, sums.keys) = (streams.table(), keys.table());
        sums
    }
}

/// A key's sums while they are made.
#[derive(Debug, Default)]
struct Row {
    least: u64,
    /// How much more its most is than that of a key in no list.
    over: i64,
    senders: u16,
    last: Option<usize>,
}

#[derive(Debug, Default)]
struct Adding {
    left_out: u64,
    rows: BTreeMap<Key, Row>,
}

impl Adding {
    fn add(&mut self, sender: usize, listed: &Listed) {
        self.left_out += listed.left_out;
        for (key, least, error) in &listed.entries {
            let row = self.rows.entry(*key).or_default();
            row.least += least;
            row.over += (least + error) as i64 - listed.left_out as i64;
            // Senders come in order, each with all its panes.
            if *least > 0 && row.last.replace(sender) != Some(sender) {
                row.senders += 1;
            }
        }
    }

    fn table(self) -> Table {
        let sum = |(key, row): (Key, Row)| {
            let most = self.left_out.saturating_add_signed(row.over).max(row.least);
            Sum { key, least: row.least, spread: most - row.least, senders: row.senders }
        };
        Table { left_out: self.left_out, sums: self.rows.into_iter().map(sum).collect() }
    }
}
