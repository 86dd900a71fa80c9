//! Totals by key over all digests of a window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::digest::TopEntries;
use crate::key::{KEY_LEN, Key};
use crate::packing::varint_len;
use crate::sender_id::SenderId;
use crate::slice::SLICES_PER_WINDOW;

/// The total of one key over all senders that reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTotal {
    /// The stream or idempotency key.
    pub key: Key,
    /// Lower bound of the total.
    pub min: u64,
    /// Difference between the upper and the lower bound.
    pub spread: u64,
    /// Lower bound of the number of senders that accepted the key.
    pub senders: u16,
}

impl KeyTotal {
    /// Upper bound of the total.
    pub(crate) fn max(&self) -> u64 {
        self.min.saturating_add(self.spread)
    }

    pub(crate) fn encoded_len(&self) -> usize {
        KEY_LEN + varint_len(self.min) + varint_len(self.spread) + varint_len(self.senders.into())
    }
}

/// Totals of all keys that at least one digest lists, and a bound of all other keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyTotals {
    /// Upper bound of the total of a key that no digest lists.
    pub max_unlisted: u64,
    /// The totals in ascending order of their keys.
    pub totals: Vec<KeyTotal>,
}

/// Totals over a window and all senders that reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowTotals {
    /// Number of senders with a complete count for each slice of the window, the latest slice first.
    pub complete_counts: [u16; SLICES_PER_WINDOW as usize],
    /// Number of messages accepted by all senders that reported.
    pub messages: u64,
    /// Totals by stream.
    pub streams: KeyTotals,
    /// Totals by idempotency key.
    pub idempotency_keys: KeyTotals,
}

/// The total of a key while digests are added.
#[derive(Debug, Default)]
struct RunningTotal {
    min: u64,
    /// Difference between the upper bound of this key and that of an unlisted key; negative if this one is smaller.
    excess: i64,
    senders: u16,
    /// The sender added last, so that each sender is counted once.
    last_sender: Option<SenderId>,
}

/// Adds up the entries of digests. All digests of a sender must be added one after the other, or the sender is
/// counted more than once.
#[derive(Debug, Default)]
pub(crate) struct KeyTotalsBuilder {
    max_unlisted: u64,
    totals_by_key: BTreeMap<Key, RunningTotal>,
}

impl KeyTotalsBuilder {
    /// Adds the entries of one sender and slice.
    pub fn add(&mut self, sender: SenderId, top_entries: &TopEntries) {
        self.max_unlisted += top_entries.max_unlisted;
        for entry in &top_entries.entries {
            let total = self.totals_by_key.entry(entry.key).or_default();
            total.min += entry.min;
            total.excess += (entry.min + entry.error) as i64 - top_entries.max_unlisted as i64;
            if entry.min > 0 && total.last_sender.replace(sender) != Some(sender) {
                total.senders += 1;
            }
        }
    }

    pub fn finish(self) -> KeyTotals {
        let max_unlisted = self.max_unlisted;
        let total = |(key, total): (Key, RunningTotal)| {
            let max = max_unlisted.saturating_add_signed(total.excess).max(total.min);
            KeyTotal { key, min: total.min, spread: max - total.min, senders: total.senders }
        };
        KeyTotals { max_unlisted, totals: self.totals_by_key.into_iter().map(total).collect() }
    }
}
