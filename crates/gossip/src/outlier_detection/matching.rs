//! Maximum bipartite matching between observers and the senders that reported their votes.

use std::collections::{BTreeMap, BTreeSet};

/// Size of the largest matching in which each observer has a reporter of its own; `observers` holds the reporters of each
/// observer.
///
/// A single reporter therefore raises the result by at most one.
pub(super) fn max_matching(observers: &[&BTreeSet<usize>]) -> usize {
    let mut matching = Matching { observers, observer_of: BTreeMap::new() };
    (0..observers.len()).filter(|observer| matching.augment(*observer, &mut BTreeSet::new())).count()
}

struct Matching<'a> {
    observers: &'a [&'a BTreeSet<usize>],
    /// The observer with which each reporter is matched, as an index into `observers`.
    observer_of: BTreeMap<usize, usize>,
}

impl Matching<'_> {
    /// Matches the observer and returns whether that is possible. If necessary, other observers are matched with another of
    /// their reporters (Kuhn's algorithm, by augmenting paths). `tried` are the reporters that the search has visited.
    fn augment(&mut self, observer: usize, tried: &mut BTreeSet<usize>) -> bool {
        for &reporter in self.observers[observer] {
            if !tried.insert(reporter) {
                continue;
            }
            let is_free = match self.observer_of.get(&reporter).copied() {
                Some(matched_observer) => self.augment(matched_observer, tried),
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
