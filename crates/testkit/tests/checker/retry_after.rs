//! Calls within a Retry-After.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::event_log::ProcessState;

use crate::log_builder::{Log, only};

#[test]
fn a_call_within_a_retry_after_is_allowed_in_the_grace_period_alone() {
    let with = |second: u64, endpoint: &str| {
        let mut log = Log::new();
        log.accept(0, "m", "safe").accept(0, "n", "safe").call(10, 1, "m", "a").answer(20, 1, 429, 1_000);
        // Another endpoint of the same receiver.
        log.call(second, 2, "n", endpoint).answer(second + 5, 2, 200, 0).notify(5_000, "m", "deferred");
        log.broken_rules()
    };
    assert_eq!(with(119, "b"), BTreeSet::new());
    assert_eq!(with(130, "b"), only(Rule::RetryAfter));
    assert_eq!(with(1_019, "b"), only(Rule::RetryAfter));
    assert_eq!(with(1_020, "b"), BTreeSet::new());
    // Independent endpoints have their own Retry-Afters, and a restart ends them.
    let mut log = Log::new();
    log.accept(0, "m", "safe").accept(0, "n", "safe").call(10, 1, "m", "r1").answer(20, 1, 503, 1_000);
    log.call(500, 2, "n", "r2").answer(505, 2, 200, 0);
    assert_eq!(log.broken_rules(), BTreeSet::new());
    log.process(600, ProcessState::Exited)
        .process(700, ProcessState::Ready)
        .call(800, 3, "m", "r1")
        .answer(805, 3, 200, 0);
    assert_eq!(log.broken_rules(), BTreeSet::new());
}
