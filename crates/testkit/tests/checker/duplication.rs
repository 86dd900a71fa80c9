//! Repeated and overlapping attempts, and possible executions.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::event_log::ProcessState;

use crate::log_builder::{Log, only};

#[test]
fn a_second_attempt_is_detected_while_the_first_is_in_flight() {
    // Answered later: it was in flight.
    let mut log = Log::new();
    log.accept(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").answer(300, 1, 200, 0);
    log.answer(310, 2, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Duplication));
    assert_eq!(log.verdict().violations[0].lines, [4, 5]);
    // Its connection had ended, and the fake noticed that shortly after.
    let mut log = Log::new();
    log.accept(0, "m", "safe")
        .call(10, 1, "m", "a")
        .call(200, 2, "m", "b")
        .abort(203, 1)
        .answer(300, 2, 200, 0);
    assert!(log.verdict().is_clean(), "{}", log.verdict());
    // Much later.
    let mut log = Log::new();
    log.accept(0, "m", "safe")
        .call(10, 1, "m", "a")
        .call(200, 2, "m", "b")
        .abort(900, 1)
        .answer(950, 2, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Duplication));
    // Never.
    let mut log = Log::new();
    log.accept(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").answer(300, 2, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Duplication));
}

#[test]
fn a_call_whose_sender_restarts_before_the_response_is_possibly_executed() {
    let restarted = |class: &str, endpoint: &str| {
        let mut log = Log::new();
        log.process(0, ProcessState::Ready)
            .accept(1, "m", class)
            .call(10, 1, "m", "a")
            .process(20, ProcessState::Terminating);
        log.abort(20, 1).process(21, ProcessState::Exited).process(700, ProcessState::Ready);
        log.call(800, 2, "m", endpoint).answer(900, 2, 200, 0);
        log.broken_rules()
    };
    assert_eq!(restarted("safe", "b"), BTreeSet::new());
    assert_eq!(restarted("keyed", "a"), BTreeSet::new());
    assert_eq!(restarted("keyed", "b"), only(Rule::Duplication));
    assert_eq!(restarted("unsafe", "a"), only(Rule::Duplication));
}

#[test]
fn rejections_and_repeats_respect_possible_executions() {
    let refused = |class: &str, status: u16| {
        let mut log = Log::new();
        log.accept(0, "m", class).call(10, 1, "m", "a").answer(20, 1, status, 0).notify(500, "m", "deferred");
        log.broken_rules()
    };
    for class in ["keyed", "unsafe"] {
        assert_eq!(refused(class, 500), only(Rule::Duplication), "{class}");
        assert_eq!(refused(class, 503), BTreeSet::new(), "{class}");
    }
    assert_eq!(refused("safe", 500), BTreeSet::new());
    // Sent again after its key is forgotten; the hand-in after a failure is another message.
    let again = |at: u64| {
        let mut log = Log::new();
        log.accept(0, "m", "keyed").call(10, 1, "m", "a").answer(20, 1, 500, 0);
        log.call(at, 2, "m", "a").answer(at + 5, 2, 200, 0);
        log.verdict().violations.iter().any(|b| b.rule == Rule::Duplication)
    };
    assert!(!again(15_010) && again(15_100));
}
