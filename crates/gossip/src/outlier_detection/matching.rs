//! Maximum bipartite matching between observers and the senders that reported their votes.

use std::collections::{BTreeMap, BTreeSet};

/// The largest number of observers that can be matched with different reporters. `reporters_by_observer` holds the
/// reporters of each observer.
///
/// Each reporter is matched with at most one observer, so a single reporter raises the result by at most one.
pub(super) fn max_matching(reporters_by_observer: &[&BTreeSet<usize>]) -> usize {
    let mut matching = Matching { reporters_by_observer, observer_of: BTreeMap::new() };
    (0..reporters_by_observer.len())
        .filter(|observer| matching.augment(*observer, &mut BTreeSet::new()))
        .count()
}

struct Matching<'a> {
    /// The reporters of each observer.
    reporters_by_observer: &'a [&'a BTreeSet<usize>],
    /// The observer with which each reporter is matched, as an index into `reporters_by_observer`; reporters that are not
    /// matched have no entry.
    observer_of: BTreeMap<usize, usize>,
}

impl Matching<'_> {
    /// Matches the observer with a reporter, and returns whether that is possible. If necessary, other observers are
    /// matched with another of their reporters (Kuhn's algorithm, by augmenting paths). `tried` are the reporters that the
    /// search has visited.
    fn augment(&mut self, observer: usize, tried: &mut BTreeSet<usize>) -> bool {
        for &reporter in self.reporters_by_observer[observer] {
            if !tried.insert(reporter) {
                continue;
            }
            let can_be_matched = match self.observer_of.get(&reporter).copied() {
                Some(matched_observer) => self.augment(matched_observer, tried),
                None => true,
            };
            if can_be_matched {
                self.observer_of.insert(reporter, observer);
                return true;
            }
        }
        false
    }
}
