//! Maximum bipartite matching of observers and the senders that reported their votes.

use std::collections::{BTreeMap, BTreeSet};

/// Size of the largest matching of observers, given by the reporters of each, in which no reporter is used twice.
///
/// A single reporter therefore adds at most one to it.
pub(super) fn max_matching(observers: &[&BTreeSet<usize>]) -> usize {
    let mut matching = Matching { observers, observer_of: BTreeMap::new() };
    (0..observers.len()).filter(|observer| matching.augment(*observer, &mut BTreeSet::new())).count()
}

struct Matching<'a> {
    observers: &'a [&'a BTreeSet<usize>],
    /// The observer that each reporter is matched with.
    observer_of: BTreeMap<usize, usize>,
}

impl Matching<'_> {
    /// Matches the observer, if necessary by matching others with another of their reporters (Kuhn's augmenting paths).
    fn augment(&mut self, observer: usize, tried: &mut BTreeSet<usize>) -> bool {
        for &reporter in self.observers[observer] {
            if !tried.insert(reporter) {
                continue;
            }
            let is_free = match self.observer_of.get(&reporter).copied() {
                Some(holder) => self.augment(holder, tried),
                None => true,
            };
            if is_free {
                self.observer_of.insert(reporter, observer);
                return true;
            }
        }
        false
    }
}
