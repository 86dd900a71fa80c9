//! Max-min fair shares of a rate limit.
//!
//! Invariant: no share exceeds its demand; the shares add up to the limit or to the sum of the demands,
//! whichever is smaller; and a share below its demand is not smaller than any other share.

use std::collections::BTreeMap;

use crate::key::Key;

/// Maximum of a demand or a limit, in calls a second; larger values and infinity are reduced to it.
const MAX_RATE: f64 = 1e12;

/// Returns the fair share of each stream in a limit, given the demands of the streams (all in calls a second).
///
/// Shares are filled evenly until each has its demand or the limit is used up (progressive filling). Negative
/// rates and NaN are treated as 0.
///
/// ```
/// use rudderspindle_heavy_hitters::{Key, fair_shares};
/// let demands = [(Key::new(1), 1.0), (Key::new(2), 4.0), (Key::new(3), 50.0)].into();
/// let shares = fair_shares(12.0, &demands);
/// assert_eq!(shares.values().copied().collect::<Vec<f64>>(), [1.0, 4.0, 7.0]);
/// ```
#[must_use]
pub fn fair_shares(limit: f64, demands: &BTreeMap<Key, f64>) -> BTreeMap<Key, f64> {
    let mut ascending_demands: Vec<(f64, Key)> =
        demands.iter().map(|(key, demand)| (bounded_rate(*demand), *key)).collect();
    ascending_demands
        .sort_by(|(left, left_key), (right, right_key)| left.total_cmp(right).then(left_key.cmp(right_key)));
    let mut remaining = bounded_rate(limit);
    let mut unfilled_count = ascending_demands.len();
    let mut shares = BTreeMap::new();
    for (demand, key) in ascending_demands {
        let share = demand.min(remaining / unfilled_count as f64);
        remaining -= share;
        unfilled_count -= 1;
        shares.insert(key, share);
    }
    shares
}

/// Returns the fraction of a stream's demand that exceeds its fair share, from 0 to 1. The excess is delayed
/// and shed first.
#[must_use]
pub fn excess_fraction(limit: f64, demands: &BTreeMap<Key, f64>, stream: Key) -> f64 {
    let demand = demands.get(&stream).map_or(0.0, |demand| bounded_rate(*demand));
    let share = fair_shares(limit, demands).get(&stream).copied().unwrap_or(0.0);
    if demand > 0.0 { (1.0 - share / demand).clamp(0.0, 1.0) } else { 0.0 }
}

/// Returns the rate, clamped to the range from 0 to [`MAX_RATE`]; 0 for NaN.
fn bounded_rate(rate: f64) -> f64 {
    if rate > 0.0 { rate.min(MAX_RATE) } else { 0.0 }
}
