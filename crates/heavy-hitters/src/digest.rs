//! What a sender tells of one pane.
//!
//! Invariant: of a listed key the pane holds between `least` and `least + error`, of any other at most `left_out`.

use serde::{Deserialize, Serialize};

use crate::sketch::MOST_COUNT;
use crate::wire::{LONGEST_BODY, length, packed};
use crate::{Key, PANES, Pane, SpaceSaving};

/// Bytes of a key.
const KEY: usize = size_of::<Key>();

/// One key of a digest: `[key, least, error]`.
pub(crate) type Entry = (Key, u64, u64);

/// The heaviest keys of a pane, and the most that any other can have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Key, least, and how much more it may be; the heaviest first.
    pub entries: Vec<(Key, u64, u64)>,
    /// The most that a key can have which is not among them.
    pub left_out: u64,
}

impl Listed {
    fn of(sketch: &SpaceSaving) -> Vec<Entry> {
        sketch.heaviest().iter().map(|e| (e.key, e.count - e.error, e.error)).collect()
    }

    /// The first so many; what is left out is at most the next one, which is not under the sketch's floor.
    fn first(mut entries: Vec<Entry>, count: usize, floor: u64) -> Self {
        let left_out = entries.get(count).map_or(floor, |(_, least, error)| least + error);
        entries.truncate(count);
        Self { entries, left_out }
    }

    /// Whether these can be of a pane with that total.
    fn is_sound(&self, total: u64) -> bool {
        let mut keys: Vec<Key> = self.entries.iter().map(|(key, ..)| *key).collect();
        keys.sort_unstable();
        let apart = keys.windows(2).all(|pair| pair[0] != pair[1]);
        let within = |(_, least, error): &Entry| least.checked_add(*error).is_some_and(|most| most <= total);
        // Entries are within the total each, and a note holds few: the sum does not overflow.
        apart
            && self.left_out <= total
            && self.entries.iter().all(within)
            && self.entries.iter().map(|(_, least, _)| least).sum::<u64>() <= total
    }
}

/// What a sender tells of one pane that has closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Which life of the sender tells; only grows.
    pub incarnation: u64,
    /// Number of the pane: its first millisecond over its length.
    pub pane: u64,
    /// Whether this life counted the pane from its beginning: otherwise an earlier one may have been handed more.
    pub whole: bool,
    /// So many panes ago this life began, and in the window before nothing was handed in; if that is known.
    pub began: Option<u8>,
    /// Messages handed in.
    pub total: u64,
    /// Of which streams.
    pub streams: Listed,
    /// With which idempotency keys.
    pub keys: Listed,
}

impl Digest {
    /// What is told of a pane: as many of the heaviest as fit a note.
    #[must_use]
    pub fn of(incarnation: u64, number: u64, pane: &Pane, whole: bool, began: Option<u64>) -> Self {
        let (streams, keys) = (Listed::of(&pane.streams), Listed::of(&pane.keys));
        let size = |list: &[Entry]| -> Vec<usize> {
            list.iter().map(|(_, least, error)| KEY + length(*least) + length(*error)).collect()
        };
        // Kind of note, whole, began and its figure, the lengths of two lists, and three figures under the total.
        let head = 6 + length(incarnation) + length(number) + 3 * length(pane.total);
        let room = LONGEST_BODY.saturating_sub(head);
        let (most_streams, most_keys) = packed(room, &size(&streams), &size(&keys));
        Self {
            incarnation,
            pane: number,
            whole,
            began: began.and_then(|panes| u8::try_from(panes).ok()),
            total: pane.total,
            streams: Listed::first(streams, most_streams, pane.streams.floor()),
            keys: Listed::first(keys, most_keys, pane.keys.floor()),
        }
    }

    /// Whether its figures can be true together.
    pub(crate) fn is_sound(&self) -> bool {
        let began = self.began.is_none_or(|panes| u64::from(panes) < PANES && u64::from(panes) <= self.pane);
        began
            && self.total <= MOST_COUNT
            && self.streams.is_sound(self.total)
            && self.keys.is_sound(self.total)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::Note;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    proptest! {
        #[test]
        fn a_digest_fits_a_note_and_bounds_every_key_of_its_pane(
            flow in prop::collection::vec((0_u64..300, 1_u64..4_000), 0..500),
            incarnation: u64,
            number in 5_u64..u64::MAX,
            // Of eight all are told, of 64 not.
            entries in prop::sample::select(vec![8, 64]),
        ) {
            let mut pane = Pane::new(number, entries);
            let mut exact: BTreeMap<Key, u64> = BTreeMap::new();
            for &(key, weight) in &flow {
                pane.total += weight;
                pane.streams.add(Key::new(key), weight);
                pane.keys.add(Key::new(key), weight);
                *exact.entry(Key::new(key)).or_default() += weight;
            }
            let digest = Digest::of(incarnation, number, &pane, true, Some(4));
            let bytes = Note::Digest(digest.clone()).encode();
            prop_assert!(bytes.len() <= LONGEST_BODY, "{} bytes", bytes.len());
            prop_assert_eq!(Note::decode(&bytes), Ok(Note::Digest(digest.clone())));
            for list in [&digest.streams, &digest.keys] {
                let listed: BTreeMap<Key, (u64, u64)> =
                    list.entries.iter().map(|(key, least, error)| (*key, (*least, least + error))).collect();
                let holds = |(key, truth): (&Key, &u64)| {
                    let (least, most) = listed.get(key).copied().unwrap_or((0, list.left_out));
                    least <= *truth && *truth <= most
                };
                prop_assert!(exact.iter().all(holds));
            }
        }
    }

    #[test]
    fn a_digest_that_names_a_key_twice_or_more_than_its_total_is_refused() {
        let mut digest = Digest::of(1, 9, &Pane::new(9, 16), true, None);
        digest.total = 10;
        digest.streams.entries = vec![(Key::new(1), 4, 1), (Key::new(2), 4, 0)];
        assert!(digest.is_sound());
        let twice = vec![(Key::new(1), 4, 0), (Key::new(1), 4, 0)];
        let beyond = vec![(Key::new(1), 4, 7)];
        let turned = vec![(Key::new(1), u64::MAX, 2)];
        let sum = vec![(Key::new(1), 6, 0), (Key::new(2), 5, 0)];
        for entries in [twice, beyond, turned, sum] {
            digest.streams.entries = entries;
            assert!(!digest.is_sound(), "{digest:?}");
        }
    }
}
