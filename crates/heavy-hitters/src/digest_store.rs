//! The latest digest of each sender and slice, and the totals over all of them (mergeable summaries, Agarwal et
//! al. 2012).
//!
//! Invariant: a register holds the greatest digest received of its sender and slice, ordered by (incarnation,
//! total). Therefore the totals do not depend on the order of datagrams, duplicates or replays. A lost digest
//! leaves its register empty; for each empty register, [`FleetView`](crate::FleetView) adds the maximum that a
//! sender can have accepted.
//!
//! Memory: at most `senders * (SLICES_PER_WINDOW + 1)` registers, each with the entries of one datagram (about
//! 24 entries, 600 bytes). Registers are discarded slice by slice, and all of them when this sender's term as
//! aggregator is over.

use std::collections::BTreeMap;

use crate::digest::{Digest, TopEntries};
use crate::error::DatagramError;
use crate::sender_id::{Incarnation, SenderId};
use crate::slice::{SLICES_PER_WINDOW, Slice};
use crate::window_totals::{KeyTotalsBuilder, WindowTotals};

/// The greatest digest received of one sender and slice.
#[derive(Clone, Debug, Default)]
struct Register {
    incarnation: Incarnation,
    /// Whether all messages that the sender accepted in the slice are counted.
    complete: bool,
    /// Number of messages that the sender accepted in the slice.
    total: u64,
    streams: TopEntries,
    idempotency_keys: TopEntries,
}

impl Register {
    /// Whether no digest has been merged.
    fn is_untouched(&self) -> bool {
        self.incarnation == Incarnation::default() && self.total == 0
    }

    /// Replaces the content of the register if the digest is greater.
    fn merge(&mut self, digest: Digest) {
        let stored = (self.incarnation, self.total, self.complete);
        if (digest.incarnation, digest.total, digest.complete) > stored {
            let Digest { incarnation, complete, total, streams, idempotency_keys, .. } = digest;
            *self = Register { incarnation, complete, total, streams, idempotency_keys };
        }
    }
}

/// The stored slices of one process of a sender; the aggregator acknowledges them to that process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredSlices {
    /// One bit for each slice of the window; the lowest bit is the latest slice.
    pub slice_bits: u8,
    /// Sum of the totals of these slices.
    pub total: u64,
}

/// The digests that an aggregator has received, by sender and slice.
#[derive(Clone, Debug, Default)]
pub struct DigestStore {
    sender_count: usize,
    /// Maximum number of messages that a sender can accept in a slice.
    max_per_slice: u64,
    registers: BTreeMap<SenderId, BTreeMap<Slice, Register>>,
}

impl DigestStore {
    /// Creates an empty store for `sender_count` senders, each of which accepts at most `max_per_slice`
    /// messages in a slice.
    #[must_use]
    pub fn new(sender_count: usize, max_per_slice: u64) -> Self {
        Self { sender_count, max_per_slice, registers: BTreeMap::new() }
    }

    /// Stores a digest of a sender while the slice `current` is open. A digest that is not greater than the
    /// stored one is ignored.
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
            let start_slice = digest.slice.minus(u64::from(slices));
            complete_idle_slices(registers, current, start_slice);
        }
        registers.entry(digest.slice).or_default().merge(digest);
        Ok(())
    }

    fn check_bounds(&self, from: SenderId, digest: &Digest, current: Slice) -> Result<(), DatagramError> {
        if from.0 >= self.sender_count {
            return Err(DatagramError::UnknownSender);
        }
        // The clock of the publishing sender may be ahead: a slice that it has closed may still be open here.
        if digest.slice > current || digest.slice.plus(SLICES_PER_WINDOW) < current {
            return Err(DatagramError::OutsideWindow);
        }
        // A single sender must not be able to outweigh all others by a large total.
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

    /// Discards all registers.
    pub fn clear(&mut self) {
        self.registers.clear();
    }

    /// Returns the stored slices of a process of a sender in the window before `current`.
    #[must_use]
    pub fn stored_of(&self, from: SenderId, incarnation: Incarnation, current: Slice) -> StoredSlices {
        let mut stored = StoredSlices::default();
        let Some(registers) = self.registers.get(&from) else { return stored };
        for (slice, register) in registers.range(current.minus(SLICES_PER_WINDOW)..current) {
            if register.incarnation == incarnation {
                stored.slice_bits |= 1 << current.age_of(*slice);
                stored.total += register.total;
            }
        }
        stored
    }

    /// Number of registers, at most one for each sender and slice.
    #[must_use]
    pub fn register_count(&self) -> usize {
        self.registers.values().map(BTreeMap::len).sum()
    }

    /// Returns the totals of all senders over the window before `current`.
    #[must_use]
    pub fn totals(&self, current: Slice) -> WindowTotals {
        let mut totals = WindowTotals::default();
        let (mut streams, mut idempotency_keys) = (KeyTotalsBuilder::default(), KeyTotalsBuilder::default());
        for (sender, registers) in &self.registers {
            for (slice, register) in registers.range(current.minus(SLICES_PER_WINDOW)..current) {
                if register.complete {
                    totals.complete_counts[current.age_of(*slice) as usize] += 1;
                }
                totals.messages += register.total;
                streams.add(*sender, &register.streams);
                idempotency_keys.add(*sender, &register.idempotency_keys);
            }
        }
        totals.streams = streams.finish();
        totals.idempotency_keys = idempotency_keys.finish();
        totals
    }
}

/// Marks the slices of the window before the first start of a sender as complete and empty, except those with a
/// digest.
fn complete_idle_slices(registers: &mut BTreeMap<Slice, Register>, current: Slice, start_slice: Slice) {
    for slice in current.window_before().filter(|slice| *slice < start_slice) {
        let register = registers.entry(slice).or_default();
        if register.is_untouched() {
            *register = Register { complete: true, ..Register::default() };
        }
    }
}
