//! Rights that are given up before the note leaves, and shares by sums under a lease, in the same world.

use rudderspindle_simulation::leased::options;
use rudderspindle_simulation::partner::most_by_rights;

const SENDERS: usize = 12;
const LIMIT: f64 = 60.0;

#[test]
fn with_half_of_the_notes_lost_rights_keep_their_bound_and_shares_under_a_lease_do_not() {
    for seed in 5..8 {
        let [permits, shares] = options(SENDERS, LIMIT, 1.2, 0.5, seed);
        println!("seed {seed}: {permits:?}, {shares:?}");
        assert!(permits.worst_second * LIMIT <= most_by_rights(LIMIT, 1_000.0, 0), "{permits:?}");
        // What was given out, and from each sender a call that had come due before.
        let bound = 0.95 * LIMIT + SENDERS as f64;
        assert!(shares.worst_second * LIMIT > bound, "{shares:?}");
    }
}

#[test]
fn rights_use_more_than_shares_under_a_lease_where_all_hear_and_where_nobody_does() {
    for (lost, least) in [(0.0, 0.9), (1.0, 0.65)] {
        let [permits, shares] = options(SENDERS, LIMIT, 1.2, lost, 5);
        println!("{lost} lost: {permits:?}, {shares:?}");
        assert!(permits.used > least && permits.used > shares.used + 0.1, "{permits:?}, {shares:?}");
        assert!(permits.worst_second * LIMIT <= most_by_rights(LIMIT, 1_000.0, 0), "{permits:?}");
    }
}
