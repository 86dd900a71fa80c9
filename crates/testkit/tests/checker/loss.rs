//! Final outcomes: missing, late, contradictory and postponed ones.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::event_log::{Event, ProcessState};

use crate::log_builder::{Log, only};

#[test]
fn an_unanswered_submission_needs_no_outcome_and_an_unknown_message_is_reported() {
    let mut log = Log::new();
    log.submit(0, "m", "safe")
        .at(400, Event::Unanswered { message_id: "m".to_owned() })
        .process(60_000, ProcessState::Ready);
    let verdict = log.verdict();
    assert!(verdict.is_clean() && verdict.accounting.unanswered == 1 && verdict.accounting.accepted == 0);
    let mut log = Log::new();
    log.accept(0, "m", "safe").process(60_000, ProcessState::Ready);
    assert_eq!((log.broken_rules(), log.verdict().accounting.lost), (only(Rule::Loss), 1));
    let mut log = Log::new();
    log.call(5, 1, "nobody's", "a").answer(6, 1, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Loss));
}

#[test]
fn a_restart_postpones_outcomes_until_it_is_over_and_no_longer() {
    let ended = |at: u64| {
        let mut log = Log::new();
        log.process(0, ProcessState::Ready)
            .accept(1, "m", "safe")
            .process(9_900, ProcessState::Terminating)
            .process(9_950, ProcessState::Exited);
        log.process(10_600, ProcessState::Ready).notify(at, "m", "undeliverable");
        log.broken_rules()
    };
    assert_eq!(ended(12_100), BTreeSet::new());
    assert_eq!(ended(12_200), only(Rule::Loss));
    // No outcome is due while the sender is down.
    let mut log = Log::new();
    log.process(0, ProcessState::Ready)
        .accept(1, "m", "safe")
        .process(9_900, ProcessState::Exited)
        .process(20_000, ProcessState::Exited);
    assert!(log.verdict().is_clean() && log.verdict().accounting.pending == 1);
}

#[test]
fn a_final_outcome_is_final() {
    let mut log = Log::new();
    log.accept(0, "m", "safe").notify(500, "m", "deferred").call(600, 1, "m", "a").answer(610, 1, 200, 0);
    assert_eq!(log.broken_rules(), only(Rule::Loss));
    let mut log = Log::new();
    log.accept(0, "m", "safe").notify(500, "m", "deferred").notify(600, "m", "undeliverable");
    assert_eq!(log.broken_rules(), only(Rule::Loss));
    // A repeated notification, or one for a delivered message, is no violation.
    let mut log = Log::new();
    log.accept(0, "m", "safe").call(5, 1, "m", "a").answer(9, 1, 200, 0).notify(500, "m", "undeliverable");
    log.notify(600, "m", "undeliverable");
    assert!(log.verdict().is_clean());
}

#[test]
fn an_unacknowledged_notification_is_repeated_soon_after_the_fault() {
    let with = |kind: &str, end: Option<u64>| {
        let mut log = Log::new();
        log.accept(0, "m", "safe").discovery_fault(9_000, kind, true).discovery_fault(13_000, kind, false);
        if let Some(end) = end {
            log.notify(end, "m", "undeliverable");
        }
        // Ends the log at 30 s.
        log.discovery_fault(30_000, kind, true).broken_rules()
    };
    assert_eq!(with("refuses_notices", Some(15_900)), BTreeSet::new());
    assert_eq!(with("refuses_notices", Some(16_200)), only(Rule::Loss));
    assert_eq!(with("ignores_notices", None), only(Rule::Loss));
    // A silent endpoint list does not postpone notifications.
    assert_eq!(with("silent", Some(15_900)), only(Rule::Loss));
    // No outcome is due while notifications are not acknowledged.
    let mut log = Log::new();
    log.accept(0, "m", "safe")
        .discovery_fault(9_000, "ignores_notices", true)
        .discovery_fault(20_000, "silent", true);
    assert_eq!((log.broken_rules(), log.verdict().accounting.pending), (BTreeSet::new(), 1));
}
