//! Permits and leased quotas in the same conditions.

use rudderspindle_simulation::limit_schemes::{Comparison, Conditions, compare};
use rudderspindle_simulation::receiver::max_calls_by_permits;

const SENDERS: usize = 12;
const LIMIT: f64 = 60.0;

fn in_conditions(loss: f64, seed: u64) -> Comparison {
    compare(&Conditions { senders: SENDERS, limit: LIMIT, load: 1.2, loss, seed })
}

#[test]
fn with_half_of_the_datagrams_lost_permits_keep_their_bound_and_leased_quotas_do_not() {
    for seed in 5..8 {
        let Comparison { permits, leased_quotas } = in_conditions(0.5, seed);
        println!("seed {seed}: {permits:?}, {leased_quotas:?}");
        assert!(permits.peak_second * LIMIT <= max_calls_by_permits(LIMIT, 1_000.0, 0), "{permits:?}");
        // The allocated calls, and one call of each sender that was due before.
        let bound = 0.95 * LIMIT + SENDERS as f64;
        assert!(leased_quotas.peak_second * LIMIT > bound, "{leased_quotas:?}");
    }
}

#[test]
fn permits_use_more_than_leased_quotas_without_loss_and_with_total_loss() {
    for (loss, least) in [(0.0, 0.9), (1.0, 0.65)] {
        let Comparison { permits, leased_quotas } = in_conditions(loss, 5);
        println!("{loss} lost: {permits:?}, {leased_quotas:?}");
        assert!(
            permits.utilization > least && permits.utilization > leased_quotas.utilization + 0.1,
            "{permits:?}, {leased_quotas:?}"
        );
        assert!(permits.peak_second * LIMIT <= max_calls_by_permits(LIMIT, 1_000.0, 0), "{permits:?}");
    }
}
