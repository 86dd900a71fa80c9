//! How many judges can be paired with a teller each.

use std::collections::{BTreeMap, BTreeSet};

/// The most pairs of a judge and one of its tellers, no teller in two of them: what one sender says, of itself or of
/// whomever, adds one at most.
pub(super) fn most_pairs(judges: &[&BTreeSet<usize>]) -> usize {
    let mut pairs: BTreeMap<usize, usize> = BTreeMap::new();
    (0..judges.len()).filter(|judge| finds_teller(judges, *judge, &mut BTreeSet::new(), &mut pairs)).count()
}

/// Whether the judge gets a teller, others moving to another of theirs for it (Kuhn's augmenting paths).
fn finds_teller(
    judges: &[&BTreeSet<usize>],
    judge: usize,
    tried: &mut BTreeSet<usize>,
    pairs: &mut BTreeMap<usize, usize>,
) -> bool {
    for &teller in judges[judge] {
        if !tried.insert(teller) {
            continue;
        }
        let free = match pairs.get(&teller).copied() {
            Some(holder) => finds_teller(judges, holder, tried, pairs),
            None => true,
        };
        if free {
            pairs.insert(teller, judge);
            return true;
        }
    }
    false
}
