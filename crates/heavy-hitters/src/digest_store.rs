//! The latest digest of each sender and slice, and their totals (mergeable summaries, Agarwal et al. 2012).
//!
//! Invariant: a register holds the greatest digest received of its sender and slice, by (incarnation, total). The order of
//! datagrams, duplicates and replays therefore make no difference, and a lost digest leaves a register empty; readers of the
//! totals add the maximum that a sender can have accepted for it.
//!
//! Memory: at most `senders * (SLICES_PER_WINDOW + 1)` registers, each with the entries of one datagram (about 24, 600
//! bytes). Discarded slice by slice, and completely when this sender's term is over.

use std::collections::BTreeMap;

use crate::digest::{Digest, TopEntries};
use crate::error::DatagramError;
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_totals::{KeyTotalsBuilder, WindowTotals};

/// The latest digest of one sender and slice.
#[derive(Clone, Debug, Default)]
struct Register {
    incarnation: Incarnation,
    complete: bool,
    total: u64,
    streams: TopEntries,
    keys: TopEntries,
}

impl Register {
    fn is_untouched(&self) -> bool {
        self.incarnation == Incarnation::default() && self.total == 0
    }

    /// Replaces the register if the digest is greater.
    fn merge(&mut self, digest: Digest) {
        let known = (self.incarnation, self.total, self.complete);
        if (digest.incarnation, digest.total, digest.complete) > known {
            let Digest { incarnation, complete, total, streams, keys, .. } = digest;
            *self = Register { incarnation, complete, total, streams, keys };
        }
    }
}

/// The stored slices of one sender's process, which are acknowledged to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredSlices {
    /// One bit for each slice of the window; the lowest bit is the latest slice.
    pub slices: u8,
    /// Sum of their totals.
    pub total: u64,
}

/// Registers by sender and slice.
#[derive(Clone, Debug, Default)]
pub struct DigestStore {
    sender_count: usize,
    /// Maximum number of messages that a sender can accept in a slice.
    max_per_slice: u64,
    registers: BTreeMap<SenderId, BTreeMap<Slice, Register>>,
}

impl DigestStore {
    /// An empty store for `sender_count` senders, each of which accepts at most `max_per_slice` messages in a slice.
    #[must_use]
    pub fn new(sender_count: usize, max_per_slice: u64) -> Self {
        Self { sender_count, max_per_slice, registers: BTreeMap::new() }
    }

    /// Stores a digest of a sender while the slice `current` is open; one that is not greater than the stored one is ignored.
    ///
    /// # Errors
    ///
    /// [`DatagramError::UnknownSender`], [`DatagramError::OutsideWindow`], [`DatagramError::OverLimit`] or
    /// [`DatagramError::StaleIncarnation`]; the totals are unchanged.
    pub fn insert(&mut self, from: SenderId, digest: Digest, current: Slice) -> Result<(), DatagramError> {
        self.check_bounds(from, &digest, current)?;
        self.discard_expired(current);
        let registers = self.registers.entry(from).or_default();
        if digest.incarnation < registers.entry(digest.slice).or_default().incarnation {
            return Err(DatagramError::StaleIncarnation);
        }
        if let Some(slices) = digest.started_slices_ago {
            let started_in = digest.slice.minus(u64::from(slices));
            complete_idle_slices(registers, current, started_in);
        }
        registers.entry(digest.slice).or_default().merge(digest);
        Ok(())
    }

    fn check_bounds(&self, from: SenderId, digest: &Digest, current: Slice) -> Result<(), DatagramError> {
        if from.0 >= self.sender_count {
            return Err(DatagramError::UnknownSender);
        }
        // The sender's clock may be ahead: a slice that it has closed may still be open here.
        if digest.slice > current || digest.slice.plus(SLICES_PER_WINDOW) < current {
            return Err(DatagramError::OutsideWindow);
        }
        // A single sender must not be able to outweigh all others.
        if digest.total > self.max_per_slice {
            return Err(DatagramError::OverLimit);
        }
        Ok(())
    }

    /// Discards registers outside the window before the slice `current`.
    pub fn discard_expired(&mut self, current: Slice) {
        self.registers.retain(|_, registers| {
            registers.retain(|slice, _| *slice <= current && slice.plus(SLICES_PER_WINDOW) >= current);
            !registers.is_empty()
        });
    }

    /// Discards everything.
    pub fn clear(&mut self) {
        self.registers.clear();
    }

    /// The stored slices of a sender's process in the window before `current`.
    #[must_use]
    pub fn stored_of(&self, from: SenderId, incarnation: Incarnation, current: Slice) -> StoredSlices {
        let mut stored = StoredSlices::default();
        let Some(registers) = self.registers.get(&from) else { return stored };
        for (slice, register) in registers.range(current.minus(SLICES_PER_WINDOW)..current) {
            if register.incarnation == incarnation {
                stored.slices |= 1 << current.age_of(*slice);
                stored.total += register.total;
            }
        }
        stored
    }

    /// Number of registers.
    #[must_use]
    pub fn register_count(&self) -> usize {
        self.registers.values().map(BTreeMap::len).sum()
    }

    /// Totals over the window before `current`.
    #[must_use]
    pub fn totals(&self, current: Slice) -> WindowTotals {
        let mut totals = WindowTotals::default();
        let (mut streams, mut keys) = (KeyTotalsBuilder::default(), KeyTotalsBuilder::default());
        for (sender, registers) in &self.registers {
            for (slice, register) in registers.range(current.minus(SLICES_PER_WINDOW)..current) {
                if register.complete {
                    totals.complete_counts[current.age_of(*slice) as usize] += 1;
                }
                totals.messages += register.total;
                streams.add(*sender, &register.streams);
                keys.add(*sender, &register.keys);
            }
        }
        totals.streams = streams.finish();
        totals.keys = keys.finish();
        totals
    }
}

/// Marks the slices before a first start as complete and empty, unless a digest of them was received.
fn complete_idle_slices(registers: &mut BTreeMap<Slice, Register>, current: Slice, started_in: Slice) {
    for slice in current.window_before().filter(|slice| *slice < started_in) {
        let register = registers.entry(slice).or_default();
        if register.is_untouched() {
            *register = Register { complete: true, ..Register::default() };
        }
    }
}
