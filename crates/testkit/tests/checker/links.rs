//! Links that lose responses.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::Rule;

use crate::log_builder::{Log, only};

#[test]
fn responses_lost_on_a_link_are_neither_received_nor_seen_to_end() {
    for hides in [true, false] {
        let expected = |rule| if hides { BTreeSet::new() } else { only(rule) };
        // The Retry-After was lost on the link, and a call is made after the link has recovered.
        let mut log = Log::new();
        log.accept(0, "m", "safe").accept(0, "n", "safe").link(5, "a", hides, true);
        log.call(10, 1, "m", "a").answer(20, 1, 429, 3_000).link(900, "a", hides, false);
        log.call(1_500, 2, "n", "a").answer(1_510, 2, 200, 0).notify(5_000, "m", "deferred");
        assert_eq!(log.broken_rules(), expected(Rule::RetryAfter), "hides {hides}");
        // A call in flight when the link failed was cancelled, which the endpoint could not see.
        let mut log = Log::new();
        log.accept(0, "m", "safe").call(10, 1, "m", "a").link(50, "a", hides, true);
        log.call(2_000, 2, "m", "b").answer(2_010, 2, 200, 0).abort(4_000, 1);
        assert_eq!(log.broken_rules(), expected(Rule::Duplication), "hides {hides}");
        // It is possibly executed: a message with an idempotency key stays in its zone.
        let mut log = Log::new();
        log.accept(0, "k", "keyed").link(5, "a", hides, true).call(10, 1, "k", "a").abort(900, 1);
        log.call(2_000, 2, "k", "b").answer(2_010, 2, 200, 0);
        assert_eq!(log.broken_rules(), only(Rule::Duplication), "hides {hides}");
    }
    // Only between this sender and this endpoint, and only until it is well again.
    let mut log = Log::new();
    log.accept(0, "m", "safe").link(5, "a", true, true).link(8, "a", true, false);
    log.call(10, 1, "m", "a").call(2_000, 2, "m", "b").answer(2_010, 2, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Duplication));
}
