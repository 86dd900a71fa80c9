//! Max-min fairness of the shares.
use proptest::prelude::{Strategy, any, prop, prop_assert, proptest};

use crate::fair_share::{excess_fraction, fair_shares};
use crate::key::Key;

proptest! {
    /// The shares use up the limit or the demands, no share exceeds its demand, and no other share is greater
    /// than a share that is below its demand.
    #[test]
    fn shares_are_max_min_fair(
        demands in prop::collection::btree_map(any::<u64>().prop_map(Key::new), 0.0..100.0_f64, 1..30),
        limit in 0.0..1_000.0_f64,
    ) {
        let shares = fair_shares(limit, &demands);
        let sum: f64 = shares.values().sum();
        let total_demand: f64 = demands.values().sum();
        prop_assert!(
            (sum - limit.min(total_demand)).abs() < 1e-6,
            "shares add up to {sum}, limit {limit}, demands {total_demand}"
        );
        let greatest = shares.values().copied().fold(0.0, f64::max);
        for (key, share) in &shares {
            prop_assert!(*share <= demands[key]);
            prop_assert!(*share >= demands[key] || *share >= greatest - 1e-6);
        }
    }
}

#[test]
fn only_a_stream_over_its_fair_share_has_an_excess() {
    let demands = [(Key::new(1), 5.0), (Key::new(2), 90.0), (Key::new(3), f64::NAN)].into();
    assert_eq!(excess_fraction(50.0, &demands, Key::new(1)), 0.0);
    assert_eq!(excess_fraction(50.0, &demands, Key::new(2)), 0.5);
    assert_eq!(excess_fraction(50.0, &demands, Key::new(3)), 0.0);
    assert_eq!(excess_fraction(f64::INFINITY, &demands, Key::new(2)), 0.0);
}
